// Worth by load at the users' fleet sizes, with the module, the baselines and the upper bounds.
(import 'users.libsonnet') {
  name: 'curves', seeds: 3, exchanges: [40, 94], loads: [0.8, 0.9, 1, 1.1, 1.2, 1.5],
  policies: ['module', 'direct', 'random', 'reservation-1', 'two-choices-1', 'sticky-1'],
}
