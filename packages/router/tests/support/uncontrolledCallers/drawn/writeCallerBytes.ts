import type { CallerKind } from './callerKind.js';

const USUAL_HEADERS = 'Host: 127.0.0.1\r\nX-Request-Id: a1\r\nX-Deadline-Ms: 60000\r\n';
const LAST_CHUNK = '0\r\n\r\n';
/** What a caller that stops just short leaves out, at most the end of the last chunk. */
const SHORT_BYTES = 3;

const writeLines = ({ headerLines, headerValueBytes }: CallerKind): string =>
  Array.from(
    { length: headerLines },
    (_, line) => `a${line}: ${'v'.repeat(headerValueBytes)}\r\n`,
  ).join('');

const writeFraming = ({ framing, bodyBytes }: CallerKind): string => {
  switch (framing) {
    case 'announced':
      return `Content-Length: ${bodyBytes}\r\n`;
    case 'chunked':
      return 'Transfer-Encoding: chunked\r\n';
    case 'none':
      return '';
  }
};

const writeChunks = ({ bodyBytes, chunkBytes }: CallerKind): string => {
  const writeChunk = (bytes: number): string =>
    bytes === 0 ? '' : `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  return (
    writeChunk(chunkBytes).repeat(Math.floor(bodyBytes / chunkBytes)) +
    writeChunk(bodyBytes % chunkBytes) +
    LAST_CHUNK
  );
};

const cut = ({ stopsAt }: CallerKind, head: string, body: string): string => {
  switch (stopsAt) {
    case 'inHead':
      return head.slice(0, -SHORT_BYTES);
    case 'inBody':
      return head + body.slice(0, Math.floor(body.length / 2));
    case 'justShort':
      return (head + body).slice(0, -SHORT_BYTES);
    case 'complete':
      return head + body;
    case 'behind':
      return `${head}${body}POST`;
  }
};

const writeStart = (kind: CallerKind, path: string): string =>
  `POST ${path} HTTP/1.1\r\n${kind.hasUsualHeaders ? USUAL_HEADERS : ''}${writeLines(kind)}`;

/** Writes what each caller of this kind sends; its requests ahead may have another path than the last one. */
export const writeCallerBytes = (
  kind: CallerKind,
  { pathAhead = `/data/${kind.responseBytes}` }: { readonly pathAhead?: string } = {},
): Buffer => {
  const start = writeStart(kind, `/data/${kind.responseBytes}`);
  const head = `${start}${writeFraming(kind)}\r\n`;
  const body = kind.framing === 'chunked' ? writeChunks(kind) : 'x'.repeat(kind.bodyBytes);
  return Buffer.from(
    `${writeStart(kind, pathAhead)}Content-Length: 0\r\n\r\n`.repeat(kind.requestsAhead) +
      cut(kind, head, body),
  );
};
