import type { IncomingMessage } from 'node:http';
import type { MemoryAccount } from '../memory/memoryAccount.js';
import { createByteCollector } from '../memory/createByteCollector.js';
import type { StoredBody } from '../memory/storedBody.js';

const getAnnouncedBytes = ({ headers }: IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

/**
 * Reads a complete body, or reports once why it is not read further. Nothing is reported if the connection ends or is
 * closed for lack of memory.
 */
export const readBody = ({
  request,
  account,
  maxBytes,
  timeoutMs,
  handleBody,
  handleFailure,
}: {
  readonly request: IncomingMessage;
  readonly account: MemoryAccount;
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Gets the body, which has to be released when it is not needed any more. */
  readonly handleBody: (body: StoredBody) => void;
  readonly handleFailure: (reason: 'bodyTooLarge' | 'bodyTooSlow') => void;
}): void => {
  if (getAnnouncedBytes(request) > maxBytes) {
    handleFailure('bodyTooLarge');
    return;
  }
  const collector = createByteCollector();
  let isFinished = false;

  const finish = (): void => {
    isFinished = true;
    clearTimeout(timer);
    collector.clear();
  };

  const fail = (reason: 'bodyTooLarge' | 'bodyTooSlow'): void => {
    finish();
    handleFailure(reason);
    account.hold('body', 0);
  };

  const timer = setTimeout(() => {
    fail('bodyTooSlow');
  }, timeoutMs);

  account.setRelease(finish);
  request.on('data', (chunk: Buffer) => {
    if (isFinished) {
      return;
    }
    if (collector.getLength() + chunk.length > maxBytes) {
      fail('bodyTooLarge');
      return;
    }
    collector.add(chunk);
    account.hold('body', collector.getCapacity());
  });
  request.once('end', () => {
    if (isFinished) {
      return;
    }
    const body = collector.takeStored();
    finish();
    handleBody(body);
  });
  request.once('close', finish);
};
