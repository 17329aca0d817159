//! The registry of plug-ins. A plug-in registers itself from its own file with
//! [`inventory::submit!`], so that adding one touches no other file.

pub use inventory;

/// Something that registers itself under a name.
pub trait Plugin: Sync + 'static {
    /// The name, unique among plug-ins of one kind.
    fn name(&self) -> &'static str;
}

/// Every plug-in of one kind, ordered by name, so that the order doesn't depend on linking.
pub fn all<P>() -> Vec<&'static P>
where
    P: inventory::Collect + Plugin,
{
    let mut found: Vec<&'static P> = inventory::iter::<P>.into_iter().collect();
    found.sort_by_key(|it| it.name());
    found
}

/// The plug-in with a name.
pub fn find<P>(name: &str) -> Option<&'static P>
where
    P: inventory::Collect + Plugin,
{
    inventory::iter::<P>
        .into_iter()
        .find(|it| it.name() == name)
}
