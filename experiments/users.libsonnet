// The classes of calls as the users specify them, for import by experiments.
{
  rate: 9,
  max_wait: '800ms',
  length: '65s',
  warmup: '40s',
  classes: [
    { name: 'status-check', share: 0.89, category: 10, width: 1, worth: 1, late_share: 0.25, aim: '1.2s', patience: '3s', deadline: '9s', hold: '11s' },
    { name: 'receipt-review', share: 0.11, category: 11, width: 2, worth: 3, late_share: 0.25, aim: '1.5s', patience: '3s', deadline: '9s', hold: '11s' },
  ],
}
