import { createServer } from 'node:http';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

const encodeRecord = ({ key, value }) => {
  const name = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([name.length]), name, value]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
};

const decodeRecords = (bytes) => {
  const records = [];
  let position = 0;
  while (position < bytes.length) {
    const length = bytes.readUInt32BE(position);
    const content = bytes.subarray(position + LENGTH_BYTES, position + LENGTH_BYTES + length);
    const keyEnd = 1 + content[0];
    records.push({ key: content.toString('utf8', 1, keyEnd), value: content.subarray(keyEnd) });
    position += LENGTH_BYTES + length;
  }
  return records;
};

const readAll = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** Starts a stand-in of the platform's store: topics with one partition, in memory, that lose nothing. */
export const startStore = async () => {
  const topics = new Map();
  const getTopic = (name) => {
    const known = topics.get(name) ?? { records: [], newest: new Map(), waiters: new Set() };
    topics.set(name, known);
    return known;
  };

  const append = (name, records) => {
    const topic = getTopic(name);
    const offset = topic.records.length;
    for (const { key, value } of records) {
      if (value.length === 0) {
        topic.newest.delete(key);
      } else {
        topic.newest.set(key, { value, offset: topic.records.length });
      }
      topic.records.push({ key, value });
    }
    [...topic.waiters].forEach((wake) => {
      wake();
    });
    return { offset, end: topic.records.length };
  };

  const waitForRecord = (topic, from, waitMs) =>
    new Promise((resolve) => {
      if (topic.records.length > from || waitMs <= 0) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        topic.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      topic.waiters.add(finish);
    });

  const read = async (query) => {
    const topic = getTopic(query.get('topic'));
    const from = Number(query.get('from'));
    await waitForRecord(topic, from, Number(query.get('waitMs') ?? 0));
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    return Buffer.concat([header, ...topic.records.slice(from).map(encodeRecord)]);
  };

  const listNewest = (query) => {
    const topic = getTopic(query.get('topic'));
    const items = [...topic.newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    return { items, hasMore: false, end: topic.records.length };
  };

  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const sendJson = (value) => {
      const body = JSON.stringify(value);
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    };
    const handle = async () => {
      switch (`${request.method} ${pathname}`) {
        case 'GET /v1/log-newest':
          sendJson(listNewest(searchParams));
          return;
        case 'GET /v1/log-read': {
          const body = await read(searchParams);
          response.writeHead(200, { 'content-length': body.length });
          response.end(body);
          return;
        }
        case 'POST /v1/log-append':
          sendJson(append(searchParams.get('topic'), decodeRecords(await readAll(request))));
          return;
        default:
          response.writeHead(404, { 'content-length': 0 });
          response.end();
      }
    };
    handle().catch(() => response.destroy());
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: server.address().port,
    /** Writes one record; the store has acknowledged it when this returns. */
    put: (topic, key, document) => {
      append(topic, [{ key, value: Buffer.from(JSON.stringify(document)) }]);
    },
    /** Writes one record whose value is this text. */
    putText: (topic, key, text) => {
      append(topic, [{ key, value: Buffer.from(text) }]);
    },
    /** Deletes the record of a key. */
    remove: (topic, key) => {
      append(topic, [{ key, value: Buffer.alloc(0) }]);
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
