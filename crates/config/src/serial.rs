//! How names and times are written in JSON: as the text that operators write.

macro_rules! text {
    ($module:ident, $type:ty, $show:expr, $read:expr) => {
        pub(crate) mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            pub(crate) fn serialize<S: Serializer>(
                value: &$type,
                to: S,
            ) -> Result<S::Ok, S::Error> {
                let show: fn(&$type) -> String = $show;
                to.serialize_str(&show(value))
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
                from: D,
            ) -> Result<$type, D::Error> {
                let text = String::deserialize(from)?;
                let read: fn(&str) -> Result<$type, String> = $read;
                read(&text).map_err(D::Error::custom)
            }
        }
    };
}

macro_rules! parsed {
    ($($module:ident: $type:ty;)*) => {$(
        text!($module, $type, |it| it.to_string(), |it| {
            it.parse().map_err(|error| format!("{it:?}: {error}"))
        });
    )*};
}

parsed! {
    adapter: kernel::name::Adapter;
    class: kernel::request::Class;
    model: kernel::name::Model;
    service: kernel::name::Service;
    tenant: kernel::name::Tenant;
}

text!(edit, crate::revision::EditId, ToString::to_string, |it| {
    it.parse().map_err(|_| format!("{it:?} is not an edit id"))
});

text!(
    duration,
    std::time::Duration,
    |it| crate::unit::format_duration(*it),
    |it| crate::unit::duration(it).map_err(|error| error.to_string())
);

text!(
    fencing,
    kernel::service::Fencing,
    |it| crate::service::fencing_word(*it).to_owned(),
    |it| crate::service::fencing(it)
        .ok_or_else(|| format!("{it:?} is neither checked nor ignored"))
);

pub(crate) mod services {
    use kernel::name::Service;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(value: &[Service], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(value.iter().map(Service::as_str))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Vec<Service>, D::Error> {
        let words = Vec::<String>::deserialize(from)?;
        let names = words.iter().map(|it| it.parse());
        names.collect::<Result<_, _>>().map_err(D::Error::custom)
    }
}
