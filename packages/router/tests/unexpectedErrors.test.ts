import { expect, it } from 'vitest';
import { logUnexpectedErrors } from '../src/index.js';

it.each(['uncaughtException', 'unhandledRejection'] as const)(
  'an error that nothing handles (%s) is logged and does not end the process',
  (event) => {
    const details: unknown[] = [];
    const before = process.listeners(event as 'uncaughtException');
    const handling = logUnexpectedErrors({
      write: ({ name, fields }) => details.push([name, fields]),
      writeDecision: () => undefined,
    });
    const added = process
      .listeners(event as 'uncaughtException')
      .filter((listener) => !before.includes(listener));
    added.forEach((listener) => {
      listener(new Error('no such socket'), 'uncaughtException');
    });
    handling[Symbol.dispose]();
    expect(details).toEqual([
      ['unexpectedError', { detail: expect.stringContaining('no such socket') as string }],
    ]);
    expect(process.listeners(event as 'uncaughtException')).toEqual(before);
  },
);
