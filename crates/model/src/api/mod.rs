//! Types of the control API, shared by the daemon and the operators' client.
