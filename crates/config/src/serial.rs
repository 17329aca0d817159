//! Serde modules for names, durations and keywords. JSON has them as the same strings that
//! operators write in YAML.

/// Defines a module for `#[serde(with = ..)]` that formats and parses a value as a string.
macro_rules! string_module {
    ($module:ident, $type:ty, $format:expr, $parse:expr) => {
        pub(crate) mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            pub(crate) fn serialize<S: Serializer>(
                value: &$type,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                let format: fn(&$type) -> String = $format;
                serializer.serialize_str(&format(value))
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<$type, D::Error> {
                let text = String::deserialize(deserializer)?;
                let parse: fn(&str) -> Result<$type, String> = $parse;
                parse(&text).map_err(D::Error::custom)
            }
        }
    };
}

/// Defines such modules for types that implement `Display` and `FromStr`.
macro_rules! display_from_str_modules {
    ($($module:ident: $type:ty;)*) => {$(
        string_module!($module, $type, |it| it.to_string(), |it| {
            it.parse().map_err(|error| format!("{it:?}: {error}"))
        });
    )*};
}

display_from_str_modules! {
    adapter: kernel::name::Adapter;
    class: kernel::request::Class;
    model: kernel::name::Model;
    service: kernel::name::Service;
    tenant: kernel::name::Tenant;
}

string_module!(edit, crate::revision::EditId, ToString::to_string, |it| {
    it.parse().map_err(|_| format!("{it:?} is not an edit ID"))
});

string_module!(
    duration,
    std::time::Duration,
    |it| crate::unit::format_duration(*it),
    |it| crate::unit::parse_duration(it).map_err(|error| error.to_string())
);

string_module!(
    fencing,
    kernel::service::Fencing,
    |it| crate::service::fencing_as_str(*it).to_owned(),
    |it| crate::service::parse_fencing(it)
        .ok_or_else(|| format!("{it:?} is neither checked nor ignored"))
);

pub(crate) mod services {
    use kernel::name::Service;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(
        value: &[Service],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(value.iter().map(Service::as_str))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Service>, D::Error> {
        let strings = Vec::<String>::deserialize(deserializer)?;
        let names = strings.iter().map(|it| it.parse());
        names.collect::<Result<_, _>>().map_err(D::Error::custom)
    }
}
