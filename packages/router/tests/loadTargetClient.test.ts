import { expect, test } from 'vitest';
import { loadTargetClient } from '../src/targets/loadTargetClient.js';

// Guards against a process that never starts because its HTTP client waits for a connection.
test('the client of targets is loaded without a connection', async () => {
  await expect(loadTargetClient()).resolves.toBeUndefined();
});
