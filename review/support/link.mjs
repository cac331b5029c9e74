// A link between clients and a router that delays both directions, closes included, and changes nothing else.
import { connect, createServer } from 'node:net';

/** Starts the link to an address; each byte and each close arrives `delayMs` after it was sent. */
export const startLink = async (address, delayMs) => {
  const [host, port] = address.split(':');
  const sockets = new Set();

  const pass = (from, to) => {
    from.on('data', (bytes) => {
      setTimeout(() => {
        to.write(bytes);
      }, delayMs);
    });
    from.on('end', () => {
      setTimeout(() => {
        to.end();
      }, delayMs);
    });
    from.on('error', () => {
      setTimeout(() => {
        to.resetAndDestroy();
      }, delayMs);
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    [near, far].forEach((socket) => {
      sockets.add(socket);
      socket.on('close', () => {
        sockets.delete(socket);
      });
    });
    pass(near, far);
    pass(far, near);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      sockets.forEach((socket) => {
        socket.destroy();
      });
    },
  };
};
