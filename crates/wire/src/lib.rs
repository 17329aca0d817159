//! The messages between entry hosts: schema, generated code and conversion. No I/O here.
