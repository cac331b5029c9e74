import { request } from 'node:http';

/** Sends one small request and returns its status; undefined if there was no response in this time. */
export const callOnce = (address: string, timeoutMs: number): Promise<number | undefined> =>
  new Promise((resolve) => {
    const call = request(
      `http://${address}/data/100`,
      { method: 'POST', agent: false, timeout: timeoutMs },
      (response) => {
        response.resume();
        response.once('end', () => {
          resolve(response.statusCode);
        });
        response.once('error', () => {
          resolve(undefined);
        });
      },
    );
    call.once('timeout', () => call.destroy());
    call.once('error', () => {
      resolve(undefined);
    });
    call.end('{}');
  });
