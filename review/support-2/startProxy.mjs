import { connect, createServer } from 'node:net';

/** Starts a proxy on a loopback port that can stop carrying bytes, or turn its callers away. */
export const startProxy = async (targetPort) => {
  const pairs = new Set();
  let isTurningAway = false;
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    if (isTurningAway) {
      caller.resetAndDestroy();
      return;
    }
    const target = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    const pair = { caller, target, isSilent: false };
    pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', (bytes) => {
        if (!pair.isSilent) {
          to.write(bytes);
        }
      });
      from.on('end', () => {
        if (!pair.isSilent) {
          to.end();
        }
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (!pair.isSilent) {
          pairs.delete(pair);
          to.destroy();
        }
      });
    };
    pass(caller, target);
    pass(target, caller);
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: server.address().port,
    /** The open connections carry nothing any more and stay open; new ones work. Returns how many there are. */
    silenceOpenConnections: () => {
      pairs.forEach((pair) => {
        pair.isSilent = true;
      });
      return pairs.size;
    },
    /** Resets the open connections and each new one until told otherwise. */
    turnAway: (isOn) => {
      isTurningAway = isOn;
      if (isOn) {
        pairs.forEach(({ caller, target }) => {
          caller.resetAndDestroy();
          target.destroy();
        });
      }
    },
    close: () => {
      server.close();
      pairs.forEach(({ caller, target }) => {
        caller.destroy();
        target.destroy();
      });
    },
  };
};
