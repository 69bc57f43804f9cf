import { after, before, describe, it } from 'node:test';
import type { Cluster } from '../../index.js';
import { startMatrixCluster } from './CactusdealTestingMatrixCluster.js';
import { findCell, formatCell, runCell } from './CactusdealTestingMatrixRun.js';

/** One fast cell for each fault; `npm run fault-matrix` runs all cells. */
const quickCells = [
  findCell('daemons die in a herd and return at once', 'dissemination'),
  findCell('the daemon dies', 'claim'),
  findCell('the upstream dies', 'answer'),
  findCell('the daemon pauses', 'log write'),
  findCell('the lease of a paused reader lapses', 'read'),
  findCell('the platform is down', 'route'),
  findCell('the platform is silent', 'claim'),
  findCell('the platform is slow', 'plan'),
  findCell('the platform loses answers', 'confirm'),
  findCell('two operators race', 'log write'),
  findCell('updates cross on the way', 'apply'),
  findCell('a flood of the least urgent work', 'claim'),
  findCell('a flood of the most urgent work', 'stop'),
  findCell('a request crashes each upstream', 'send'),
  findCell('open connections go silent', 'dissemination'),
  findCell('the data centre is cut off from the platform', 'announce'),
  findCell('the data centres are cut off from each other', 'drain'),
  findCell('links lose one direction', 'read'),
];

describe('fault matrix', () => {
  let cluster: Cluster;
  before(async () => {
    cluster = await startMatrixCluster();
  });
  after(() => cluster.close());

  quickCells.forEach((cell, index) => {
    it(formatCell(cell), () => runCell(cluster, cell, `q${index}`));
  });
});
