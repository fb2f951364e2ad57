// Time until service recovers from each kind of fault, at 90% of the planned load. One run per fault would separate them
// better, but takes eight times as long; instead, the faults start at least half a minute apart.
(import 'users.libsonnet') {
  name: 'troubles', seeds: 2, exchanges: [40], loads: [0.9], length: '330s', warmup: '40s', policies: ['module', 'direct'],
  steps: [
    { kind: 'jump', at: '60s', len: '8s', size: 1.5 },
    { kind: 'hot_number', at: '100s', len: '15s', part: 0.3, size: 4 },
    { kind: 'region_loss', at: '145s', len: '12s', part: 0.5 },
    { kind: 'mass_cut', at: '185s', part: 0.4 },
    { kind: 'silence', at: '215s', len: '15s', part: 0.13 },
    { kind: 'unit', at: '260s', len: '1s' },
    { kind: 'flap', at: '300s', part: 0.5 },
  ],
}
