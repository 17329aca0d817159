//! Tests of the conversion of remote procedure calls.

use std::time::Duration;

use capnp::message::{Builder, HeapAllocator};
use kernel::{
    fault::{Fault, Kind},
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    request::Class,
};
use wire::{
    call::{self, Release},
    comfreywing_capnp::{ask, release, verdict},
};

fn request() -> Request {
    Request {
        request: "r-1".parse().unwrap(),
        holder: Holder {
            host: "a".parse().unwrap(),
            incarnation: 4,
        },
        reference: "signs/bay-summary@7".parse().unwrap(),
        model: "base".parse().unwrap(),
        tenant: "maegesho".parse().unwrap(),
        class: Class::Background,
        remaining: Duration::from_micros(1_234_567),
        prefix: u64::MAX,
        max_tokens: 256,
    }
}

fn permit() -> Permit {
    Permit {
        number: Number(9),
        upstream: "engine-1".parse().unwrap(),
        address: "[::1]:80".parse().unwrap(),
        loaded: "signs/bay-summary@7+99".parse().unwrap(),
        fence: 12,
        start_by: Duration::from_secs(1),
        run_by: Duration::from_secs(30),
        load_stall: Duration::from_millis(250),
        queue_wait: Duration::ZERO,
    }
}

/// A permit request is unchanged after encoding and decoding.
#[test]
fn permit_requests_are_preserved() {
    let mut builder = Builder::new_default();
    call::write_permit_request(&request(), builder.init_root());
    let read = call::read_permit_request(builder.get_root_as_reader().unwrap());
    assert_eq!(read.unwrap(), request());
}

/// Verdicts are unchanged after encoding and decoding, with every error kind.
#[test]
fn verdicts_are_preserved() {
    let check = |verdict: Verdict| {
        let mut builder = Builder::new_default();
        call::write_verdict(&verdict, builder.init_root());
        let read = call::read_verdict(builder.get_root_as_reader().unwrap());
        assert_eq!(read.unwrap(), verdict);
    };
    check(Verdict::Granted(permit()));
    check(Verdict::NotSteward);
    for kind in Kind::ALL {
        let fault = Fault::new(*kind, "the engine is full");
        check(Verdict::Refused(fault.clone()));
        check(Verdict::Refused(
            fault.with_retry_after(Duration::from_micros(1)),
        ));
    }
}

/// Releases are unchanged after encoding and decoding, for each outcome except `Leaving`.
#[test]
fn releases_are_preserved() {
    for outcome in [
        Outcome::Completed,
        Outcome::Unused,
        Outcome::Refused,
        Outcome::Interrupted,
        Outcome::Cancelled,
    ] {
        let release = Release {
            engine: "engine-1".parse().unwrap(),
            fence: 3,
            number: Number(8),
            outcome,
        };
        let mut builder = Builder::new_default();
        call::write_release(&release, builder.init_root());
        let read = call::read_release(builder.get_root_as_reader().unwrap());
        assert_eq!(read.unwrap(), release);
    }
}

/// Encodes a message and returns the error that decoding it gives.
fn decode_error<T: std::fmt::Debug>(
    write: impl FnOnce(&mut Builder<HeapAllocator>),
    read: impl FnOnce(&Builder<HeapAllocator>) -> Result<T, wire::Invalid>,
) -> String {
    let mut builder = Builder::new_default();
    write(&mut builder);
    read(&builder).unwrap_err().to_string()
}

/// The error for a malformed field starts with the name of the field.
#[test]
fn errors_name_the_field() {
    let check = |change: fn(ask::Builder<'_>), expected: &str| {
        let error = decode_error(
            |it| {
                call::write_permit_request(&request(), it.init_root());
                change(it.get_root().unwrap());
            },
            |it| call::read_permit_request(it.get_root_as_reader().unwrap()),
        );
        assert!(error.starts_with(expected), "{error}");
    };
    check(|mut it| it.set_request(""), "ask.request");
    check(|mut it| it.set_reference("signs/bay"), "ask.reference");
    check(|mut it| it.set_model("Base"), "ask.model");
    check(|mut it| it.set_tenant("a b"), "ask.tenant");
    check(|mut it| it.set_class("urgent"), "ask.class");
    let unknown = decode_error(
        |it| {
            let verdict: verdict::Builder<'_> = it.init_root();
            verdict.init_refused().set_kind("odd");
        },
        |it| call::read_verdict(it.get_root_as_reader().unwrap()),
    );
    assert!(unknown.starts_with("fault.kind"), "{unknown}");
    let empty = decode_error(
        |it| it.init_root::<release::Builder<'_>>().set_fence(1),
        |it| call::read_release(it.get_root_as_reader().unwrap()),
    );
    assert!(empty.starts_with("release.engine"), "{empty}");
}
