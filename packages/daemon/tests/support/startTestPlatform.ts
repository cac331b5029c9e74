import { startListStandIn, startLogStandIn } from '@parsleyhall/stand-ins';
import { TEST_CONFIGURATION } from './testConfiguration.js';
import type { TestPlatform } from './testPlatform.js';

const sendJson = async (method: string, url: string, body: object): Promise<void> => {
  const answer = await fetch(url, { method, body: JSON.stringify(body) });
  if (!answer.ok) {
    throw new Error(`${method} ${url}: ${answer.status} ${await answer.text()}`);
  }
};

/** Starts stand-ins for the platform's log and host list and publishes the test configuration. */
export const startTestPlatform = async (): Promise<TestPlatform> => {
  const log = await startLogStandIn();
  const list = await startListStandIn();
  await sendJson('POST', `http://${log.address}/v1/streams/configuration/records`, {
    records: [
      {
        type: 'publish',
        publicationId: 'first',
        base: 0,
        operator: 'test',
        document: TEST_CONFIGURATION,
      },
    ],
  });
  return {
    logAddress: log.address,
    listAddress: list.address,
    putHost: ({ process, role, address, state = 'live' }) =>
      sendJson('PUT', `http://${list.address}/control/hosts/${process}`, {
        host: `host-of-${process}`,
        dataCentre: 'maadi',
        role,
        process,
        address,
        state,
      }),
    createSettings: (process) => ({
      process,
      host: `host-of-${process}`,
      dataCentre: 'maadi',
      listen: { address: '127.0.0.1', port: 0 },
      operatorListen: { address: '127.0.0.1', port: 0 },
      log: { address: log.address },
      hostList: { address: list.address },
      hostListPollMs: 50,
      logLevel: 'debug',
    }),
    [Symbol.asyncDispose]: async () => {
      await list[Symbol.asyncDispose]();
      await log[Symbol.asyncDispose]();
    },
  };
};
