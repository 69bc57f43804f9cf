import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FailureError } from '@cactusdeal/shared';
import { openSocket } from '../../CactusdealMeshConnection.js';

const TIMEOUT_MS = 100;

describe('dialling an address that another writer left', () => {
  ['127.0.0.1:70000', '127.0.0.1:-1', '127.0.0.1:x', '127.0.0.1', 'host', ''].forEach((address) => {
    it(`fails with a type: ${JSON.stringify(address)}`, async () => {
      const caught = await openSocket(address, TIMEOUT_MS).catch((error: unknown) => error);
      assert.ok(caught instanceof FailureError);
      assert.equal(caught.failure.kind, 'PeerUnreachable');
    });
  });
});
