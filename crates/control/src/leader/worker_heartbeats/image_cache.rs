//! Which container images are in the caches of machines, as far as the leader can conclude it from tasks.

use super::find_machine_type;
use crate::leader::Leader;
use std::collections::BTreeMap;

/// Images on a machine, each with when it was last used and its size in gigabytes.
type Images = BTreeMap<String, (u64, f64)>;

impl Leader {
    /// Notes that an image is on a machine, and forgets those that the worker will have evicted for it.
    pub(super) fn note_cached_image(
        &mut self,
        machine: &str,
        image: String,
        size_gb: f64,
        now: u64,
    ) {
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        machine.images.insert(image, (now, size_gb));
        let machine_type = find_machine_type(&self.types.desired, &machine.kind);
        let capacity_gb = machine_type.map_or(f64::MAX, |machine_type| machine_type.image_cache_gb);
        evict_least_recently_used(&mut machine.images, capacity_gb);
    }
}

/// Removes the images used longest ago until the rest fits the cache. One image always stays.
fn evict_least_recently_used(images: &mut Images, capacity_gb: f64) {
    let mut total_gb: f64 = images.values().map(|(_, size_gb)| size_gb).sum();
    while total_gb > capacity_gb && images.len() > 1 {
        let oldest = images.iter().min_by_key(|(_, (used_at, _))| *used_at);
        let Some((image, size_gb)) = oldest.map(|(image, (_, size_gb))| (image.clone(), *size_gb))
        else {
            return;
        };
        total_gb -= size_gb;
        images.remove(&image);
    }
}
