//! What a decision costs, by the size of a failure domain.
