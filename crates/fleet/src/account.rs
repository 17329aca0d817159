//! Client accounts: whose request it is, by its key, and what the account may do.
//!
//! Keys are kept as digests only, so that neither a log, a message between hosts nor a core dump shows one. They are
//! looked up by digest, which makes the time of a look-up independent of how much of a key is right.

pub mod ledger;

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
    time::Duration,
};

use sha2::{Digest, Sha256};

use self::ledger::AccountId;

/// Number of digits of a digest in hexadecimal.
const HEX_DIGITS: usize = 64;

/// Digest of an API key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key as a caller sends it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the form that [`KeyDigest::to_hex`] returns.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != HEX_DIGITS || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Hexadecimal form, for messages between hosts.
    pub fn to_hex(self) -> String {
        let digit = |it: u8| char::from_digit(u32::from(it), 16).unwrap_or_default();
        let digits = self.0.iter().flat_map(|it| [it >> 4, it & 15]);
        digits.map(digit).collect()
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows no part of the digest, since logs are read by more people than the configuration.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name, which engines are told.
    pub name: Arc<str>,
    /// Urgency of its requests, in place of that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit of its requests over all hosts; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit of the requests of an account over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The unit that is counted.
    pub unit: Unit,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
}

/// Unit of a [`Quota`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest output that the request allows.
    Tokens {
        /// Tokens of a request that states none.
        unstated: f64,
    },
}

impl Account {
    /// Tokens per second of its quota, if that counts tokens.
    fn token_rate(&self) -> Option<f64> {
        let quota = self.quota.as_ref()?;
        matches!(quota.unit, Unit::Tokens { .. }).then_some(quota.rate)
    }
}

impl Quota {
    /// Units that a request uses, by the tokens that it states.
    pub fn cost(&self, stated_tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { unstated } => {
                let stated = stated_tokens.map(|it| u32::try_from(it).unwrap_or(u32::MAX));
                stated.map_or(unstated, f64::from)
            }
        }
    }
}

/// Parts of a [`Tolerance`] that hosts use. The rest is for what they admit before they hear of each other, and for the last
/// request, which may be larger than what is left.
const USED_RATIO: f64 = 0.5;
const SLACK_IN_RATE: f64 = 0.25;
const SLACK_IN_BURST: f64 = 0.1;

/// Units that all hosts together may admit beyond the quota of an account. An account whose burst is that of one or two requests
/// would be refused some below its rate otherwise, since requests don't come at equal intervals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Span of time in which the use of an account is judged.
    pub window: Duration,
    /// Part of the quota.
    pub ratio: f64,
    /// Units in a window in addition to that.
    pub slack: f64,
}

impl Default for Tolerance {
    /// Returns a tolerance of nothing.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            ratio: 0.0,
            slack: 0.0,
        }
    }
}

impl Quota {
    /// The quota by which hosts admit requests.
    #[must_use]
    pub fn tolerant(self, tolerance: &Tolerance) -> Self {
        let factor = 1.0 + tolerance.ratio * USED_RATIO;
        let slack = tolerance.slack;
        Self {
            rate: self.rate * factor + slack * SLACK_IN_RATE / tolerance.window.as_secs_f64(),
            burst: self.burst * factor + slack * SLACK_IN_BURST,
            ..self
        }
    }
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Access {
    /// Callers with the key of an account.
    #[default]
    Accounts,
    /// All callers.
    Public,
}

/// Request without a key of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unauthenticated;

/// Least weight of an account. A quota of nearly nothing is a way to close an account, and says nothing of its share.
const MIN_WEIGHT: f64 = 0.05;

/// Holder of a key.
#[derive(Clone, Debug)]
enum Holder {
    One(Arc<Account>),
    /// Several accounts name the key. It identifies none of them.
    Several,
}

/// All accounts of a revision of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, Holder>,
    by_name: HashMap<Arc<str>, Arc<Account>>,
    by_id: HashMap<AccountId, Arc<Account>>,
    keyless: Vec<Arc<str>>,
    shared_keys: Vec<[Arc<str>; 2]>,
    /// Mean of the quotas that count tokens, in tokens per second; `None` if there is none.
    mean_token_rate: Option<f64>,
}

impl Accounts {
    /// Creates accounts, each with its keys. A key that two accounts name is refused: whichever account its requests were
    /// counted for, it would be the wrong one for some of them.
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<KeyDigest>)>) -> Self {
        let mut all = Self::default();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            all.by_name.insert(account.name.clone(), account.clone());
            let id = AccountId::of(&account.name);
            all.by_id.insert(id, account.clone());
            if keys.is_empty() {
                all.keyless.push(account.name.clone());
            }
            for key in keys {
                all.add_key(key, &account);
            }
        }
        let rates = all.by_name.values().filter_map(|it| it.token_rate());
        let (sum, count) = rates.fold((0.0, 0.0), |sum, it| (sum.0 + it, sum.1 + 1.0));
        all.mean_token_rate = (sum > 0.0).then(|| sum / count);
        all
    }

    /// Weight of an account among those that compete for room, as their quotas in tokens are to each other. Accounts without
    /// such a quota weigh as much as the mean of the others.
    pub fn weight(&self, account: &Account) -> f64 {
        let weight = account.token_rate().zip(self.mean_token_rate);
        weight.map_or(1.0, |(rate, mean)| (rate / mean).max(MIN_WEIGHT))
    }

    fn add_key(&mut self, key: KeyDigest, account: &Arc<Account>) {
        let previous = self.by_key.get(&key);
        let holder = match previous {
            None => Holder::One(account.clone()),
            Some(Holder::One(it)) if it.name == account.name => Holder::One(account.clone()),
            Some(Holder::One(it)) => {
                let names = [it.name.clone(), account.name.clone()];
                self.shared_keys.push(names);
                Holder::Several
            }
            Some(Holder::Several) => Holder::Several,
        };
        self.by_key.insert(key, holder);
    }

    /// The account that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        match self.by_key.get(key)? {
            Holder::One(it) => Some(it),
            Holder::Several => None,
        }
    }

    /// The account of this name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// The account with this id in messages.
    pub fn by_id(&self, id: AccountId) -> Option<&Arc<Account>> {
        self.by_id.get(&id)
    }

    /// Accounts without a key.
    pub fn keyless(&self) -> &[Arc<str>] {
        &self.keyless
    }

    /// The keys of an account, as digests. A key that several accounts name is none of them.
    pub fn keys_of(&self, name: &str) -> BTreeSet<KeyDigest> {
        let holds = |it: &Holder| matches!(it, Holder::One(it) if &*it.name == name);
        let keys = self.by_key.iter().filter(|it| holds(it.1));
        keys.map(|it| *it.0).collect()
    }

    /// All accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Pairs of accounts that name the same key.
    pub fn shared_keys(&self) -> &[[Arc<str>; 2]] {
        &self.shared_keys
    }

    /// Returns the account of a request. A caller that needs no key is known by the one that it sends all the same.
    pub fn authenticate(
        &self,
        access: Access,
        key: Option<&KeyDigest>,
    ) -> Result<Option<Arc<Account>>, Unauthenticated> {
        match (key.and_then(|it| self.by_key(it)), access) {
            (Some(it), _) => Ok(Some(it.clone())),
            (None, Access::Public) => Ok(None),
            (None, Access::Accounts) => Err(Unauthenticated),
        }
    }

    /// Returns the account that another host has found for a request, by revision `theirs` of the configuration, where
    /// this host has `own`. An account that this host doesn't know yet has no limit here, since that host has counted the
    /// request.
    pub fn vouched(
        &self,
        name: &Arc<str>,
        theirs: u64,
        own: u64,
    ) -> Result<Arc<Account>, Unauthenticated> {
        match self.by_name(name) {
            Some(it) => Ok(it.clone()),
            None if theirs > own => Ok(Arc::new(Account {
                name: name.clone(),
                priority: None,
                quota: None,
            })),
            None => Err(Unauthenticated),
        }
    }
}
