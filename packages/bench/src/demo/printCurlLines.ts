import { v7 } from 'uuid';
import type { Cluster } from '../cluster/cluster.js';

/** Prints curl lines that work on the running demo. */
export const printCurlLines = (cluster: Cluster, model: string, servicePool: string): void => {
  const [entry] = cluster.entries;
  const callers = `http://${entry?.callers ?? ''}`;
  const chat = JSON.stringify({
    model,
    stream: true,
    messages: [{ role: 'user', content: 'Draft a landing page for a bakery in Maadi.' }],
  });
  const lines = [
    `curl -sN ${callers}/v1/chat/completions -H 'content-type: application/json' -H 'x-team: alexandria' -H 'x-tier: 1' -d '${chat}'`,
    `curl -s ${callers}/services/${servicePool}/domains/bindings -H 'x-team: alexandria' -H 'x-tier: 1' -H 'idempotency-key: ${v7()}' -d '{"domain":"bakery.example"}'`,
    `curl -s ${callers}/services/${servicePool}/status/42 -H 'x-team: giza'`,
    `curl -s ${callers}/readyz`,
    `curl -s http://${entry?.operators ?? ''}/status`,
    `curl -s http://${entry?.operators ?? ''}/metrics`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
};
