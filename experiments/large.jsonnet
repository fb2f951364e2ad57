// Fleets too large to run on sockets.
(import 'users.libsonnet') {
  name: 'large', seeds: 1, exchanges: [300, 1000], loads: [0.8, 1.2], length: '45s', warmup: '30s', policies: ['module', 'direct'],
}
