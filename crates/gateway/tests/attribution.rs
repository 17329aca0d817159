//! Attribution of responses to requests.

use gateway::{attribution::Attribution, connection::Use};

fn check(response_id: Option<&str>, connection: Use, expected: Attribution) {
    let found = Attribution::new("r-1", response_id, connection);
    assert_eq!(found, expected, "{response_id:?} on {connection:?}");
}

#[test]
fn a_response_that_names_the_request_is_its_own() {
    check(Some("r-1"), Use::First, Attribution::Own);
    check(Some("r-1"), Use::Repeated, Attribution::Own);
}

#[test]
fn a_response_that_names_another_request_is_never_its_own() {
    check(Some("r-0"), Use::First, Attribution::Other);
    check(Some("r-0"), Use::Repeated, Attribution::Other);
    check(Some(""), Use::First, Attribution::Other);
}

#[test]
fn a_response_without_an_id_belongs_to_the_first_request_of_a_connection_only() {
    check(None, Use::First, Attribution::Own);
    check(None, Use::Repeated, Attribution::Unknown);
}
