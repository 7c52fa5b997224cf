//! Images of tasks, and estimates of the interference that filling tasks of one image cause to serving tasks of
//! another.
//!
//! Workers report the response time of each serving task. The model is a queue: the response time is that of an idle
//! task divided by the share of time that is left, `floor / (1 - load)`. The load of a task is its own load, which
//! varies with its users, plus a weight for each core that filling tasks of an image use beside it. A weight is
//! estimated with its variance, by a Kalman filter that ignores correlations, so that the weight of a pair with many
//! readings changes little. The difference of two successive readings of one task carries the most information, since
//! its own load hardly changes between them.

use crate::hash::Map;

/// Index of an image in the [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u16);

/// Factor from the lowest reading of an image to the estimated response time of an idle task, since the task with the
/// lowest reading also had some load.
const FLOOR_SHARE: f64 = 0.8;

/// Share of the target that is taken as the response time of an idle task before any reading.
const FLOOR_PRIOR_SHARE: f64 = 0.25;

/// Upper bound of the load that is derived from a reading; above it the response time hardly depends on the load.
pub(super) const LOAD_MAX: f64 = 0.95;

/// Mean own load of a serving task before any reading.
const MEAN_PRIOR: f64 = 0.5;

/// Peak own load of a serving task before any reading.
const PEAK_PRIOR: f64 = 0.65;

/// Smoothing factor of the mean own load of an image, per reading.
const MEAN_GAIN: f64 = 0.005;

/// Smoothing factors of the peak own load of an image, per reading above and below the peak.
const PEAK_RISE_GAIN: f64 = 0.05;
const PEAK_FALL_GAIN: f64 = 0.003;

/// Variance of the interference derived from a single reading, with the mean own load in place of the unknown own load.
/// It includes the variation of the own load, and that successive readings are correlated through it.
const LEVEL_VARIANCE: f64 = 0.2;

/// Variance of the difference of the loads of two successive readings.
const CHANGE_VARIANCE: f64 = 0.006;

/// Estimated interference of a filling image with a serving image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pair {
    /// Load that one core of the filling image adds to a task of the serving image.
    pub weight: f64,
    /// Variance of the weight.
    pub variance: f64,
}

/// Estimate of a pair before any reading. Its small interference limits how much of an unknown image starts beside
/// serving tasks.
const PAIR_PRIOR: Pair = Pair { weight: 0.03, variance: 0.001 };

/// Weight below which the interference of a filling image counts as low.
const LIGHT_WEIGHT_MAX: f64 = 0.04;

/// Lower bound of the variance of a weight, so that later readings can still change the weight.
const VARIANCE_MIN: f64 = 0.000_02;

/// Load estimates of the serving tasks of an image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Image {
    /// Response time of an idle task in milliseconds; `None` before the first reading.
    pub floor: Option<f64>,
    /// Mean own load.
    pub mean: f64,
    /// Peak own load, which is rarely exceeded.
    pub peak: f64,
}

const IMAGE_PRIOR: Image = Image { floor: None, mean: MEAN_PRIOR, peak: PEAK_PRIOR };

/// Images by name, with the estimates of each pair.
#[derive(Debug, Clone, Default)]
pub struct Table {
    by_name: Map<String, Key>,
    images: Vec<Image>,
    /// Pairs by serving image, then filling image.
    pairs: Vec<Vec<Pair>>,
    /// Images that filling tasks run.
    filling: Vec<Key>,
}

/// Estimates of all images, in the form in which they are stored.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Estimates {
    /// Images, each with its name.
    pub images: Vec<(String, Image)>,
    /// Positions of the serving and the filling image in [`Self::images`], with the estimate of the pair.
    pub pairs: Vec<(usize, usize, Pair)>,
}

/// Processor time in cores that filling tasks of an image use, or the change of it.
pub type Usage = (Key, f64);

impl Table {
    /// Returns the key of an image, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> Key {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = Key(self.images.len() as u16);
        self.by_name.insert(name.to_owned(), key);
        self.images.push(IMAGE_PRIOR);
        for row in &mut self.pairs {
            row.push(PAIR_PRIOR);
        }
        self.pairs.push(vec![PAIR_PRIOR; self.images.len()]);
        key
    }

    /// Marks an image as one that filling tasks run.
    pub fn mark_filling(&mut self, key: Key) {
        if !self.filling.contains(&key) {
            self.filling.push(key);
        }
    }

    /// Returns the share of the filling images whose interference with serving tasks of an image is low, from 0 to 1.
    pub fn compatible_share(&self, serving: Key) -> f64 {
        let light =
            self.filling.iter().filter(|filling| self.weight(serving, **filling) < LIGHT_WEIGHT_MAX).count();
        if self.filling.is_empty() { 1.0 } else { light as f64 / self.filling.len() as f64 }
    }

    /// Returns the estimates to store, without the pairs that have no reading.
    pub fn estimates(&self) -> Estimates {
        let mut images = vec![(String::new(), IMAGE_PRIOR); self.images.len()];
        for (name, key) in &self.by_name {
            images[usize::from(key.0)] = (name.clone(), self.images[usize::from(key.0)]);
        }
        let rows = self.pairs.iter().enumerate();
        let pairs = rows.flat_map(|(serving, row)| {
            row.iter().enumerate().map(move |(filling, pair)| (serving, filling, *pair))
        });
        Estimates { images, pairs: pairs.filter(|(.., pair)| *pair != PAIR_PRIOR).collect() }
    }

    /// Restores the estimates that an earlier leader stored.
    pub fn restore(&mut self, estimates: &Estimates) {
        let keys: Vec<Key> = estimates.images.iter().map(|(name, _)| self.intern(name)).collect();
        for (key, (_, image)) in keys.iter().zip(&estimates.images) {
            self.images[usize::from(key.0)] = *image;
        }
        for (serving, filling, pair) in &estimates.pairs {
            if let (Some(serving), Some(filling)) = (keys.get(*serving), keys.get(*filling)) {
                self.pairs[usize::from(serving.0)][usize::from(filling.0)] = *pair;
            }
        }
    }

    /// Returns the load estimates of the serving tasks of an image.
    pub fn image(&self, key: Key) -> Image {
        self.images[usize::from(key.0)]
    }

    /// Returns the load that one core of a filling image adds to a task of a serving image.
    pub fn weight(&self, serving: Key, filling: Key) -> f64 {
        self.pairs[usize::from(serving.0)][usize::from(filling.0)].weight
    }

    /// Returns the load that neighbouring filling tasks add to a serving task of an image.
    pub fn interference(&self, serving: Key, neighbours: impl IntoIterator<Item = Usage>) -> f64 {
        neighbours.into_iter().map(|(filling, cores)| self.weight(serving, filling) * cores).sum()
    }

    /// Returns the load at which a serving task has this response time, from 0 to `LOAD_MAX`.
    pub fn load_at(&self, serving: Key, response_ms: f64) -> f64 {
        let floor = self.image(serving).floor.unwrap_or(response_ms * FLOOR_PRIOR_SHARE);
        (1.0 - floor / response_ms.max(floor)).clamp(0.0, LOAD_MAX)
    }

    /// Records a response time of a serving task, and returns the load that it corresponds to.
    pub fn record_reading(&mut self, serving: Key, response_ms: f64) -> f64 {
        let lowest = response_ms * FLOOR_SHARE;
        let image = &mut self.images[usize::from(serving.0)];
        image.floor = Some(image.floor.map_or(lowest, |floor| floor.min(lowest)));
        self.load_at(serving, response_ms)
    }

    /// Updates the weights from the load of one reading of a serving task beside these filling tasks.
    pub fn learn_level(&mut self, serving: Key, neighbours: &[Usage], load: f64) {
        let mean = self.image(serving).mean;
        self.update_weights(serving, neighbours, load - mean, LEVEL_VARIANCE);
    }

    /// Updates the weights from the difference of two readings of one serving task, between which its neighbours
    /// changed.
    pub fn learn_change(&mut self, serving: Key, changes: &[Usage], change: f64) {
        self.update_weights(serving, changes, change, CHANGE_VARIANCE);
    }

    /// Updates the mean and the peak own load of an image from the own load of one of its tasks.
    pub fn learn_own_load(&mut self, serving: Key, own: f64) {
        let image = &mut self.images[usize::from(serving.0)];
        image.mean += MEAN_GAIN * (own - image.mean);
        let step = if own > image.peak { PEAK_RISE_GAIN } else { PEAK_FALL_GAIN };
        image.peak += step * (own - image.peak);
    }

    /// Corrects the weights of the pairs towards the measured interference, each in proportion to its share of the
    /// variance.
    fn update_weights(&mut self, serving: Key, loads: &[Usage], measured: f64, noise: f64) {
        let error = measured - self.interference(serving, loads.iter().copied());
        let row = &mut self.pairs[usize::from(serving.0)];
        let pair_variance = |(filling, cores): &Usage| row[usize::from(filling.0)].variance * cores * cores;
        let variance = noise + loads.iter().map(pair_variance).sum::<f64>();
        for (filling, cores) in loads {
            let pair = &mut row[usize::from(filling.0)];
            let gain = pair.variance * cores / variance;
            pair.weight = (pair.weight + gain * error).max(0.0);
            pair.variance = (pair.variance * (1.0 - gain * cores)).max(VARIANCE_MIN);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Response time in milliseconds of a task with this load, of an image whose idle tasks take 10 ms.
    fn response(load: f64) -> f64 {
        10.0 / (1.0 - load)
    }

    /// Guards against attributing the interference of one neighbour to all of them, and against taking a variation of
    /// the task's own load for interference.
    #[test]
    fn learns_which_image_interferes() {
        let mut table = Table::default();
        let serving = table.intern("desk");
        let (heavy, light) = (table.intern("heavy"), table.intern("light"));
        let mut before: Option<(f64, [f64; 2])> = None;
        for round in 0..200_u32 {
            let own = 0.4 + 0.2 * (f64::from(round) * 0.22).sin();
            let cores = [f64::from(round / 7 % 3), f64::from(round / 5 % 4)];
            let load = table.record_reading(serving, response(own + 0.07 * cores[0] + 0.005 * cores[1]));
            table.learn_level(serving, &[(heavy, cores[0]), (light, cores[1])], load);
            if let Some((load_before, cores_before)) = before {
                let changes = [(heavy, cores[0] - cores_before[0]), (light, cores[1] - cores_before[1])];
                table.learn_change(serving, &changes, load - load_before);
            }
            before = Some((load, cores));
        }
        assert!(table.weight(serving, heavy) > 0.05, "{}", table.weight(serving, heavy));
        assert!(table.weight(serving, light) < 0.02, "{}", table.weight(serving, light));
    }

    /// Guards against a new leader that loses the estimates of its predecessor.
    #[test]
    fn estimates_survive_a_change_of_the_leader() {
        let mut table = Table::default();
        let (serving, filling) = (table.intern("desk"), table.intern("test"));
        for _ in 0..200 {
            let load = table.record_reading(serving, 40.0);
            table.learn_level(serving, &[(filling, 2.0)], load);
            table.learn_own_load(serving, 0.6);
        }
        let mut other = Table::default();
        let (filling_there, serving_there) = (other.intern("test"), other.intern("desk"));
        other.restore(&table.estimates());
        assert_eq!(other.weight(serving_there, filling_there), table.weight(serving, filling));
        assert_eq!(other.image(serving_there), table.image(serving));
    }

    /// Guards against a negative weight, with which more filling tasks would seem to reduce the load.
    #[test]
    fn weights_stay_at_zero_or_above() {
        let mut table = Table::default();
        let (serving, filling) = (table.intern("desk"), table.intern("test"));
        for _ in 0..100 {
            table.learn_change(serving, &[(filling, 4.0)], -0.5);
        }
        assert!(table.weight(serving, filling) >= 0.0);
    }
}
