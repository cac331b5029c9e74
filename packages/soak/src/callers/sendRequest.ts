import { request as startRequest } from 'node:http';
import type { Agent } from 'node:http';
import type { RequestKind } from '../history/requestKind.js';
import type { SentRequest } from '../history/sentRequest.js';
import { getNowMs } from '../system/getNowMs.js';

const DEADLINE_MS = 4_000;

/** Sends a request and records its outcome; the caller may abort it before the response is complete. */
export const sendRequest = ({
  id,
  kind,
  entry,
  ip,
  port,
  agent,
  abortAfterMs,
  promptParts,
}: {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: number;
  readonly ip: string;
  readonly port: number;
  /** Undefined to use a new connection for this request alone. */
  readonly agent: Agent | undefined;
  /** Undefined to abort it at its deadline only. */
  readonly abortAfterMs: number | undefined;
  /** Parts of the prompt that other requests may share. */
  readonly promptParts: readonly string[];
}): { readonly sent: SentRequest; readonly whenClosed: Promise<void> } => {
  const sent: SentRequest = { id, kind, entry, sentMs: getNowMs(), body: '', isWhole: false };
  const request = startRequest({
    host: ip,
    port,
    path: `/${kind}/x`,
    headers: {
      host: '127.0.0.1',
      'x-request-id': id,
      'x-deadline-ms': String(DEADLINE_MS),
      ...(promptParts.length === 0 ? {} : { 'x-prompt-parts': promptParts.join(',') }),
    },
    agent: agent ?? false,
  });
  const abortTimer = setTimeout(() => {
    sent.leftMs = getNowMs();
    request.destroy();
  }, abortAfterMs ?? DEADLINE_MS);
  request.on('error', () => undefined);
  request.on('response', (response) => {
    sent.status = response.statusCode ?? 0;
    response.setEncoding('latin1');
    response.on('error', () => undefined);
    response.on('data', (text: string) => {
      sent.body += text;
    });
    response.on('end', () => {
      sent.isWhole = true;
    });
  });
  const whenClosed = new Promise<void>((resolve) => {
    request.once('close', () => {
      clearTimeout(abortTimer);
      sent.endedMs = getNowMs();
      resolve();
    });
  });
  request.end();
  return { sent, whenClosed };
};
