// The settings of one call server of a fleet. The fleet passes the values of the call server in as 'fleet'.
local fleet = std.parseJson(std.extVar('fleet'));
local name(i) = 'ex%02d' % (i + 1);
local code(i) = 101 + i;
local me = fleet.me;

{
  name: name(me),
  seed: fleet.seed * 1000 + me,
  exchanges: [{ name: name(i), number: i + 1, point_code: code(i) } for i in std.range(0, fleet.exchanges - 1)],
  listen: '127.0.0.1:0',
  console: '127.0.0.1:0',
  peers: [
    {
      name: name(i),
      kind: 'exchange',
      circuits: { first: 1, count: fleet.group },
      heartbeat: '2s',
    } + (if me < i then { dial: fleet.wires[i] } else {})
    for i in std.range(0, fleet.exchanges - 1)
    if i != me
  ] + [
    { name: 'counters', kind: 'client', point_code: 2001 + me, circuits: { first: 1, count: fleet.counters }, heartbeat: '2s' },
    { name: 'lines', kind: 'subscribers', point_code: 3001 + me, circuits: { first: 1, count: fleet.lines }, heartbeat: '2s' },
  ],
  classes: [
    { name: c.name, category: c.category, worth: c.worth, late_share: c.late_share, aim: c.aim, patience: c.patience,
      deadline: c.deadline, hold: c.hold, width: c.width }
    for c in fleet.classes
  ],
  numbers: [{ prefix: '55%02d' % (i + 1), exchange: name(i) } for i in std.range(0, fleet.exchanges - 1)],
  enum: {
    listen: '127.0.0.1:0',
    routing: '99',
    secret: 'fleet %d' % fleet.seed,
    askers: [
      { name: 'asker-' + c.name, networks: ['127.0.%d.0/24' % c.category], client: 'counters', class: c.name, rate: 1000 }
      for c in fleet.classes
    ],
  },
  rules: {
    attempts: 5,
    release: fleet.release,
    drain_grace: '1s',
    tip_after: '3s',
    overload: 2,
    cold_from: 0.3,
    cold_for: '12s',
  },
  timers: { t1: '1s', t5: '6s', t12: '1s', t13: '6s', t_ack: '500ms', recovery: '2s' },
}
