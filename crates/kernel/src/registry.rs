//! The plug-in registry. A plug-in registers itself from its own file with
//! [`inventory::submit!`], so that no other file changes when a plug-in is added.

pub use inventory;

/// A plug-in that registers itself under a name.
pub trait Plugin: Sync + 'static {
    /// Returns the name, unique among plug-ins of one kind.
    fn name(&self) -> &'static str;
}

/// Returns all plug-ins of one kind, sorted by name because the registration order depends on the
/// linker.
pub fn all<P>() -> Vec<&'static P>
where
    P: inventory::Collect + Plugin,
{
    let mut plugins: Vec<&'static P> = inventory::iter::<P>.into_iter().collect();
    plugins.sort_by_key(|it| it.name());
    plugins
}

/// Returns the plug-in with the given name.
pub fn find<P>(name: &str) -> Option<&'static P>
where
    P: inventory::Collect + Plugin,
{
    inventory::iter::<P>
        .into_iter()
        .find(|it| it.name() == name)
}
