// The default experiment of finchlatch lab: how much worth each policy carries below, at and above the planned load. Callers
// do not redial, so that the upper bound for policies that decide on each call on arrival applies too.
{
  name: 'overload',
  length: '30s',
  warmup: '10s',
  seeds: 3,
  exchanges: [8],
  loads: [0.8, 1, 1.2, 1.5, 2],
  policies: ['module', 'direct', 'random', 'reservation-1', 'two-choices-1', 'sticky-1'],
  rate: 10,
  habits: { redials: 0, overstay: '300ms' },
}
