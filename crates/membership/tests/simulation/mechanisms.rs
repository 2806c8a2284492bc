//! Guards each mechanism: what it prevents, and that the test fails without it.
