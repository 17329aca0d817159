//! Attribution of responses to requests.

use gateway::{attribution::Attribution, connection::Origin};

fn check(response_id: Option<&str>, connection: Origin, expected: Attribution) {
    let found = Attribution::new("r-1", response_id, connection);
    assert_eq!(found, expected, "{response_id:?} on {connection:?}");
}

#[test]
fn a_response_that_names_the_request_is_its_own() {
    check(Some("r-1"), Origin::New, Attribution::Own);
    check(Some("r-1"), Origin::Pooled, Attribution::Own);
}

#[test]
fn a_response_that_names_another_request_is_never_its_own() {
    check(Some("r-0"), Origin::New, Attribution::Other);
    check(Some("r-0"), Origin::Pooled, Attribution::Other);
    check(Some(""), Origin::New, Attribution::Other);
}

#[test]
fn a_response_without_an_id_belongs_to_the_first_request_of_a_connection_only() {
    check(None, Origin::New, Attribution::Own);
    check(None, Origin::Pooled, Attribution::Unknown);
}
