//! Objects in memory, with failures to order.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use objects::object::{
    Continuation, Events, Failure, Item, MAX_VALUE_BYTES, Object, Page, Reason, Store, Version,
};

/// How many calls overtake a late write.
const LATE_CALLS: usize = 2;

/// What happens to a call instead of its normal course.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Nothing happens.
    None,
    /// The call has no effect and says so.
    Outage,
    /// The call takes effect and its answer is lost.
    LostAnswer,
    /// The call has no effect and its answer is lost.
    LostCall,
    /// The write takes effect only after [`LATE_CALLS`] further calls.
    Late,
}

#[derive(Default)]
struct Inner {
    objects: BTreeMap<String, Object>,
    revision: Version,
    troubles: VecDeque<Trouble>,
    late: VecDeque<(usize, String, Vec<u8>)>,
    count: usize,
    calls: BTreeMap<&'static str, usize>,
}

/// Objects in memory.
#[derive(Default)]
pub struct Fake(Mutex<Inner>);

impl Fake {
    /// Sets what happens to the next calls, in order.
    pub fn trouble(&self, troubles: &[Trouble]) {
        self.lock().troubles = troubles.iter().copied().collect();
    }

    /// The keys that there are.
    pub fn keys(&self) -> Vec<String> {
        self.lock().objects.keys().cloned().collect()
    }

    /// How many calls of a kind were made, and forgets them.
    pub fn take_calls(&self, kind: &str) -> usize {
        self.lock().calls.remove(kind).unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().expect("the fake's lock is poisoned")
    }

    fn call<T>(
        &self,
        kind: &'static str,
        act: impl FnOnce(&mut Inner) -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        let mut inner = self.lock();
        *inner.calls.entry(kind).or_default() += 1;
        inner.settle();
        let lost = Failure::Unknown {
            reason: "the connection broke".to_owned(),
        };
        match inner.troubles.pop_front().unwrap_or(Trouble::None) {
            Trouble::None | Trouble::Late => act(&mut inner),
            Trouble::Outage => Err(Failure::Unavailable {
                reason: "connection refused".to_owned(),
            }),
            Trouble::LostAnswer => act(&mut inner).and(Err(lost)),
            Trouble::LostCall => Err(lost),
        }
    }
}

impl Inner {
    fn settle(&mut self) {
        self.count += 1;
        while self.late.front().is_some_and(|it| it.0 < self.count) {
            if let Some((_, key, value)) = self.late.pop_front() {
                let _ = self.create(&key, &value);
            }
        }
    }

    fn create(&mut self, key: &str, value: &[u8]) -> Result<Version, Failure> {
        if self.objects.contains_key(key) {
            return Err(conflict(key));
        }
        self.put(key, value)
    }

    fn put(&mut self, key: &str, value: &[u8]) -> Result<Version, Failure> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Failure::TooLarge {
                key: key.to_owned(),
                bytes: value.len(),
            });
        }
        self.revision += 1;
        let object = Object {
            version: self.revision,
            value: value.to_vec(),
        };
        self.objects.insert(key.to_owned(), object);
        Ok(self.revision)
    }

    fn expect(&self, key: &str, version: Version) -> Result<(), Failure> {
        match self.objects.get(key) {
            Some(object) if object.version == version => Ok(()),
            _ => Err(conflict(key)),
        }
    }
}

fn conflict(key: &str) -> Failure {
    Failure::Conflict {
        key: key.to_owned(),
    }
}

impl Store for Fake {
    fn get(&self, _: Reason, key: &str) -> Result<Option<Object>, Failure> {
        self.call("get", |inner| Ok(inner.objects.get(key).cloned()))
    }

    fn create(&self, _: Reason, key: &str, value: &[u8]) -> Result<Version, Failure> {
        let late = self.lock().troubles.front() == Some(&Trouble::Late);
        if late {
            let mut inner = self.lock();
            inner.troubles.pop_front();
            let due = inner.count + LATE_CALLS;
            inner.late.push_back((due, key.to_owned(), value.to_vec()));
            return Err(Failure::Unknown {
                reason: "the answer is late".to_owned(),
            });
        }
        self.call("create", |inner| inner.create(key, value))
    }

    fn update(
        &self,
        _: Reason,
        key: &str,
        version: Version,
        value: &[u8],
    ) -> Result<Version, Failure> {
        self.call("update", |inner| {
            inner.expect(key, version)?;
            inner.put(key, value)
        })
    }

    fn delete(&self, _: Reason, key: &str, version: Version) -> Result<(), Failure> {
        self.call("delete", |inner| {
            inner.expect(key, version)?;
            inner.objects.remove(key);
            inner.revision += 1;
            Ok(())
        })
    }

    fn list(&self, _: Reason, prefix: &str, after: &str, limit: usize) -> Result<Page, Failure> {
        self.call("list", |inner| {
            let all = inner.objects.iter();
            let mut items: Vec<Item> = all
                .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                .take(limit + 1)
                .map(|(key, object)| Item {
                    key: key.clone(),
                    version: object.version,
                    value: object.value.clone(),
                })
                .collect();
            let more = if items.len() > limit {
                Continuation::More
            } else {
                Continuation::End
            };
            items.truncate(limit);
            Ok(Page {
                items,
                revision: inner.revision,
                more,
            })
        })
    }

    fn watch(&self, _: Reason, _: &str, _: Version, _: Duration) -> Result<Events, Failure> {
        self.call("watch", |_| Ok(Events::default()))
    }
}
