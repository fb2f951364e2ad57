// The fault schedule that finchlatch try plays by default.
{
  len: '60s',
  steps: [
    { at: '4s', kind: 'jump', len: '5s', size: 1.4 },
    { at: '11s', kind: 'hot_number', len: '6s', part: 0.2, size: 3 },
    { at: '18s', kind: 'region_loss', len: '6s', part: 0.45, region: 0 },
    { at: '20s', kind: 'late_list', len: '20s', size: 2 },
    { at: '25s', kind: 'mass_cut', part: 0.4 },
    { at: '27s', kind: 'silence', len: '6s', part: 0.1 },
    { at: '30s', kind: 'client_flap', part: 0.1 },
    { at: '35s', kind: 'unit' },
    { at: '42s', kind: 'stall', len: '6s', part: 0.2, size: 0.6 },
    { at: '44s', kind: 'flood', len: '5s', part: 0.1, size: 3 },
    { at: '48s', kind: 'flap', part: 0.1 },
    { at: '50s', kind: 'slow', len: '4s', size: 2 },
    { at: '51s', kind: 'replace', len: '6s', part: 0.17 },
    { at: '52s', kind: 'give_up', len: '4s', size: 0.3 },
  ],
}
