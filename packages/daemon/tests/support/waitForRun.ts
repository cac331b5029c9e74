import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 10;

/** Polls a service's run counts until it has received a call with the idempotency key. */
export const waitForRun = async (
  service: { readonly address: string },
  key: string,
): Promise<void> => {
  const hasRun = async (): Promise<boolean> => {
    const answer = await fetch(`http://${service.address}/control/runs`);
    const runs = (await answer.json()) as { readonly byKey: Readonly<Record<string, number>> };
    return (runs.byKey[key] ?? 0) > 0;
  };
  while (!(await hasRun())) {
    await delay(POLL_MS);
  }
};
