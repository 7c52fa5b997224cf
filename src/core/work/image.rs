//! Images of tasks, and how much filling tasks of one image disturb serving tasks of another.
//!
//! Workers report the response time of each serving task. The model is that of a queue: the response time is that of an
//! idle task divided by the share of time that is left, `floor / (1 - load)`. The load of a task is its own, which swings
//! with its users, plus a weight for each core that filling tasks of another image use beside it. A weight is estimated
//! with its variance, by a Kalman filter without correlations, so that a pair that was seen often moves little. Changes
//! between two readings of one task say most, since its own load hardly changes between them.

use crate::hash::Map;

/// Index of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u16);

/// Lowest reading of an image, times this, is taken as the response time of an idle task: even the calmest task that was
/// seen had some load.
const FLOOR_SHARE: f64 = 0.8;

/// Share of a target that is taken as the response time of an idle task before any reading.
const FLOOR_PRIOR_SHARE: f64 = 0.25;

/// Highest load that a reading is taken for; above it the response time hardly depends on the load.
pub(super) const LOAD_MAX: f64 = 0.95;

/// Own load of a serving task before anything is known.
const MEAN_PRIOR: f64 = 0.5;

/// High own load of a serving task before anything is known.
const PEAK_PRIOR: f64 = 0.65;

/// Share of the distance by which one reading moves the mean own load of an image.
const MEAN_GAIN: f64 = 0.005;

/// Shares of the distance by which one reading above and below moves the high own load of an image.
const PEAK_RISE_GAIN: f64 = 0.05;
const PEAK_FALL_GAIN: f64 = 0.003;

/// Variance of a reading as a measure of the pressure, if the own load of the task is not known. The swing of the own load
/// is in it, and that successive readings share it.
const LEVEL_VARIANCE: f64 = 0.2;

/// Variance of the difference of two successive readings.
const CHANGE_VARIANCE: f64 = 0.006;

/// What is known of a serving and a filling image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pair {
    /// Load that a core of the filling image adds.
    pub weight: f64,
    /// Variance of the weight.
    pub variance: f64,
}

/// Estimates of a pair before any reading: disturbed a little, so that it is tried with care.
const PAIR_PRIOR: Pair = Pair { weight: 0.03, variance: 0.001 };

/// Weight below which a filling image hardly disturbs a serving one.
const LIGHT_WEIGHT_MAX: f64 = 0.04;

/// Lowest variance of a weight, so that it can still change.
const VARIANCE_MIN: f64 = 0.000_02;

/// What is known of the serving tasks of an image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Image {
    /// Response time of an idle task in milliseconds, if a reading was seen.
    pub floor: Option<f64>,
    /// Mean own load.
    pub mean: f64,
    /// Own load that is rarely exceeded.
    pub peak: f64,
}

const IMAGE_PRIOR: Image = Image { floor: None, mean: MEAN_PRIOR, peak: PEAK_PRIOR };

/// Images by name, and what is known of each pair.
#[derive(Debug, Clone, Default)]
pub struct Table {
    by_name: Map<String, Key>,
    images: Vec<Image>,
    /// Pairs by serving image, then filling image.
    pairs: Vec<Vec<Pair>>,
    /// Images of tasks that fill.
    filling: Vec<Key>,
}

/// What is known of all images, as it is stored.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Estimates {
    /// Images with their names.
    pub images: Vec<(String, Image)>,
    /// Serving and filling image by position, with the pair.
    pub pairs: Vec<(usize, usize, Pair)>,
}

/// Processor time in cores that filling tasks of an image use, or its change.
pub type Usage = (Key, f64);

impl Table {
    /// Key of an image, added if it is new.
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

    /// Notes that tasks of an image fill.
    pub fn mark_filling(&mut self, key: Key) {
        if !self.filling.contains(&key) {
            self.filling.push(key);
        }
    }

    /// Share of the filling images that hardly disturb serving tasks of an image.
    pub fn compatible_share(&self, serving: Key) -> f64 {
        let light =
            self.filling.iter().filter(|filling| self.weight(serving, **filling) < LIGHT_WEIGHT_MAX).count();
        if self.filling.is_empty() { 1.0 } else { light as f64 / self.filling.len() as f64 }
    }

    /// Everything that is known, without pairs of which nothing is.
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

    /// Takes over what an earlier leader knew.
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

    /// What is known of the serving tasks of an image.
    pub fn image(&self, key: Key) -> Image {
        self.images[usize::from(key.0)]
    }

    /// Load that a core of a filling image adds to a serving image.
    pub fn weight(&self, serving: Key, filling: Key) -> f64 {
        self.pairs[usize::from(serving.0)][usize::from(filling.0)].weight
    }

    /// Load that filling tasks add to a serving task of an image.
    pub fn interference(&self, serving: Key, neighbours: impl IntoIterator<Item = Usage>) -> f64 {
        neighbours.into_iter().map(|(filling, cores)| self.weight(serving, filling) * cores).sum()
    }

    /// Load at which a serving task has this response time in milliseconds.
    pub fn load_at(&self, serving: Key, response_ms: f64) -> f64 {
        let floor = self.image(serving).floor.unwrap_or(response_ms * FLOOR_PRIOR_SHARE);
        (1.0 - floor / response_ms.max(floor)).clamp(0.0, LOAD_MAX)
    }

    /// Takes over a reading in milliseconds of a serving task, and returns its load.
    pub fn record_reading(&mut self, serving: Key, response_ms: f64) -> f64 {
        let lowest = response_ms * FLOOR_SHARE;
        let image = &mut self.images[usize::from(serving.0)];
        image.floor = Some(image.floor.map_or(lowest, |floor| floor.min(lowest)));
        self.load_at(serving, response_ms)
    }

    /// Learns from a load that was read beside these filling tasks.
    pub fn learn_level(&mut self, serving: Key, neighbours: &[Usage], load: f64) {
        let mean = self.image(serving).mean;
        self.update_weights(serving, neighbours, load - mean, LEVEL_VARIANCE);
    }

    /// Learns from a change of the load of one task, between two readings between which its neighbours changed.
    pub fn learn_change(&mut self, serving: Key, changes: &[Usage], change: f64) {
        self.update_weights(serving, changes, change, CHANGE_VARIANCE);
    }

    /// Notes the own load of a serving task.
    pub fn learn_own_load(&mut self, serving: Key, own: f64) {
        let image = &mut self.images[usize::from(serving.0)];
        image.mean += MEAN_GAIN * (own - image.mean);
        let step = if own > image.peak { PEAK_RISE_GAIN } else { PEAK_FALL_GAIN };
        image.peak += step * (own - image.peak);
    }

    /// Moves the weights of the pairs towards a measured pressure, each by its share of the variance.
    fn update_weights(&mut self, serving: Key, loads: &[Usage], measured: f64, noise: f64) {
        let error = measured - self.interference(serving, loads.iter().copied());
        let row = &mut self.pairs[usize::from(serving.0)];
        let spread = |(filling, cores): &Usage| row[usize::from(filling.0)].variance * cores * cores;
        let variance = noise + loads.iter().map(spread).sum::<f64>();
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

    /// Response time of a task with this load, of an image whose idle tasks need 10 ms.
    fn response(load: f64) -> f64 {
        10.0 / (1.0 - load)
    }

    /// Guards against a model that blames every neighbour for what one of them does, or takes a swing of the task's own
    /// load for a disturbance.
    #[test]
    fn learns_which_image_disturbs() {
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

    /// Guards against a new leader that has to learn again what its predecessor knew.
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

    /// Guards against a weight that becomes negative, which would make crowding look useful.
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
