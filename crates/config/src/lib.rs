//! The operators' text: parsing, validation, revisions and differences. No I/O here.
