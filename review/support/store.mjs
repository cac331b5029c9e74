// A stand-in for the platform's store: the calls of its log that a router uses, as PROTOCOL.md tells them.
import { createServer } from 'node:http';

const GONE = 410;
const OFFSET_BYTES = 8;

const encodeRecord = ({ key, value }) => {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key + value)]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
};

const encodePage = (topic, from) => {
  const header = Buffer.alloc(2 * OFFSET_BYTES);
  header.writeBigUInt64BE(BigInt(topic.records.length), 0);
  return Buffer.concat([header, ...topic.records.slice(from).map(encodeRecord)]);
};

const decodeRecords = (body) => {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const keyEnd = at + 5 + body[at + 4];
    records.push({
      key: body.toString('utf8', at + 5, keyEnd),
      value: body.toString('utf8', keyEnd, at + 4 + length),
    });
    at += 4 + length;
  }
  return records;
};

/** Starts the store on a free port. */
export const startStore = async () => {
  const topics = new Map();
  const getTopic = (name) => {
    const topic = topics.get(name) ?? { records: [], newest: new Map(), waiting: new Set() };
    topics.set(name, topic);
    return topic;
  };

  const append = (name, key, value) => {
    const topic = getTopic(name);
    topic.records.push({ key, value });
    if (value === '') {
      topic.newest.delete(key);
    } else {
      topic.newest.set(key, { value, offset: topic.records.length - 1 });
    }
    [...topic.waiting].forEach((respond) => {
      respond();
    });
  };

  const sendJson = (response, value) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  };

  const readNewest = (topic, response) => {
    sendJson(response, {
      items: [...topic.newest].map(([key, { value, offset }]) => ({
        key,
        value: Buffer.from(value).toString('base64'),
        offset,
      })),
      hasMore: false,
      end: topic.records.length,
    });
  };

  const readFrom = (topic, from, waitMs, response) => {
    if (from > topic.records.length) {
      response.writeHead(GONE);
      response.end(JSON.stringify({ first: 0 }));
      return;
    }
    const respond = () => {
      clearTimeout(timer);
      topic.waiting.delete(respond);
      response.end(encodePage(topic, from));
    };
    const timer = setTimeout(respond, waitMs);
    if (topic.records.length > from || waitMs === 0) {
      respond();
      return;
    }
    topic.waiting.add(respond);
  };

  const handle = async (request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const name = searchParams.get('topic');
    const topic = getTopic(name);
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (pathname === '/v1/log-newest') {
      readNewest(topic, response);
    } else if (pathname === '/v1/log-read') {
      const waitMs = Number(searchParams.get('waitMs') ?? 0);
      readFrom(topic, Number(searchParams.get('from')), waitMs, response);
    } else if (pathname === '/v1/log-append') {
      const offset = topic.records.length;
      decodeRecords(Buffer.concat(chunks)).forEach(({ key, value }) => {
        append(name, key, value);
      });
      sendJson(response, { offset, end: topic.records.length });
    } else {
      response.writeHead(404);
      response.end();
    }
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => {
      response.destroy();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    append,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
