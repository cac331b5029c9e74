import { callJson } from './callJson.js';

interface Registration {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly role: 'entry' | 'target';
  readonly address: string;
  readonly operatorAddress: string;
}

/** Shows a process in a list of hosts as live. */
export const registerProcess = async (list: string, record: Registration): Promise<void> => {
  const path = `/control/hosts/${record.process}`;
  await callJson(list, path, { method: 'PUT', body: { ...record, state: 'live' } });
};
