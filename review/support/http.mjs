// Small HTTP/1.1 codec for the stand-ins: it shows what is on the socket, not what a library makes of it.

const HEAD_END = '\r\n\r\n';

const parseHead = (text) => {
  const [startLine, ...lines] = text.split('\r\n');
  const headers = new Map();
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(line.slice(0, colon).trim().toLowerCase(), line.slice(colon + 1).trim());
  }
  return { startLine, headers };
};

/** Reads requests from a socket, one after the other, and calls back with each one once it is read whole. */
export const readRequests = (socket, handleRequest) => {
  let buffered = Buffer.alloc(0);
  const readOne = () => {
    const headEnd = buffered.indexOf(HEAD_END);
    if (headEnd < 0) {
      return false;
    }
    const { startLine, headers } = parseHead(buffered.toString('latin1', 0, headEnd));
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0);
    if (buffered.length < bodyEnd) {
      return false;
    }
    const [method, path] = startLine.split(' ');
    const body = buffered.toString('latin1', bodyStart, bodyEnd);
    buffered = buffered.subarray(bodyEnd);
    handleRequest({ method, path, headers, body });
    return true;
  };
  socket.on('data', (bytes) => {
    buffered = Buffer.concat([buffered, bytes]);
    while (readOne()) {
      // Goes on with the next request.
    }
  });
};

/**
 * Reads one response from a socket. Calls `handle.head`, `handle.body` (with each piece of the body) and, once,
 * `handle.end` with 'complete' (the framing says that all has arrived), 'closed' (an orderly close before that; for a
 * response without a length this is its regular end) or 'reset'. Returns a function that stops reading.
 */
export const readResponse = (socket, handle) => {
  let buffered = Buffer.alloc(0);
  let head;
  let left;
  let hasEnded = false;

  const finish = (how) => {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    stop();
    handle.end(how);
  };

  const take = (length) => {
    const taken = buffered.subarray(0, length);
    buffered = buffered.subarray(length);
    return taken;
  };

  const readChunk = () => {
    const lineEnd = buffered.indexOf('\r\n');
    if (lineEnd < 0) {
      return false;
    }
    const size = Number.parseInt(buffered.toString('latin1', 0, lineEnd), 16);
    if (buffered.length < lineEnd + 2 + size + 2) {
      return false;
    }
    take(lineEnd + 2);
    const chunk = take(size);
    take(2);
    if (size === 0) {
      finish('complete');
      return false;
    }
    handle.body(chunk);
    return true;
  };

  const readBody = () => {
    if (head.headers.get('transfer-encoding') === 'chunked') {
      while (readChunk()) {
        // Goes on with the next chunk.
      }
      return;
    }
    const bytes = take(left === undefined ? buffered.length : Math.min(left, buffered.length));
    if (bytes.length > 0) {
      handle.body(bytes);
    }
    if (left !== undefined) {
      left -= bytes.length;
      if (left === 0) {
        finish('complete');
      }
    }
  };

  const onData = (bytes) => {
    buffered = Buffer.concat([buffered, bytes]);
    if (head === undefined) {
      const headEnd = buffered.indexOf(HEAD_END);
      if (headEnd < 0) {
        return;
      }
      const { startLine, headers } = parseHead(take(headEnd).toString('latin1'));
      take(HEAD_END.length);
      head = { status: Number(startLine.split(' ')[1]), headers };
      const length = headers.get('content-length');
      left = length === undefined ? undefined : Number(length);
      handle.head(head);
    }
    readBody();
  };
  const onEnd = () => {
    finish('closed');
  };
  const onClose = () => {
    finish('closed');
  };
  const onError = () => {
    finish('reset');
  };
  const stop = () => {
    socket.off('data', onData);
    socket.off('end', onEnd);
    socket.off('close', onClose);
    socket.off('error', onError);
  };
  socket.on('data', onData);
  socket.on('end', onEnd);
  socket.on('close', onClose);
  socket.on('error', onError);
  return stop;
};
