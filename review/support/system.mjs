// Starts a small deployment on loopback addresses: the project's own router by the deploy file, and stand-ins.
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStore } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const GRACE_S = 8;
const START_LIMIT_MS = 20_000;
const RUN_LIMIT_MS = 110_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

export const HOST = 'front.example';
export const KEY = 'key-of-alpha';
export const hasTrouble = process.env.TROUBLE !== '0';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const getFreePort = async () => {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
};

const getFreeUdpPort = async () => {
  const socket = createSocket('udp4');
  await new Promise((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const { port } = socket.address();
  socket.close();
  return port;
};

/** The command that the deploy file gives for the role `router`. */
const readCommand = () => {
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /\[roles\.router\]\s+run = "([^"]+)"/.exec(deployFile)?.[1];
  if (command === undefined) {
    throw new Error('deploy/system.toml names no command of the router');
  }
  return command.split(' ');
};

/** The settings as the platform fills them in by platform/settings.template, with the bounds of a small deployment. */
const makeSettings = async (store, host) => {
  const ports = [await getFreePort(), await getFreePort(), await getFreePort()];
  const [callers, ready, metrics] = ports.map((port) => `127.0.0.1:${port}`);
  const peerPort = await getFreeUdpPort();
  return {
    host,
    dataCentre: 'a',
    ip: '127.0.0.1',
    callersAddress: callers,
    readinessAddress: ready,
    metricsAddress: metrics,
    peerPorts: [peerPort, peerPort],
    seeds: [],
    storeAddress: store.address,
    stopWithinSeconds: GRACE_S,
    drainMs: 2_000,
    revocationMs: 5_000,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 54,
    quotaWindowSeconds: 8,
    quotaOvershoot: 0.1,
    quotaSlack: 140_000,
    trustedPromptParts: [],
  };
};

const isReady = (address) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) }, () => {
      socket.write('GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
    });
    socket.once('data', (bytes) => {
      resolve(bytes.toString().startsWith('HTTP/1.1 200'));
      socket.destroy();
    });
    socket.once('error', () => {
      resolve(false);
    });
  });

/**
 * Runs a case: `play` gets the deployment and returns a list of what broke the rule. Writes record.txt beside the case,
 * ends all that was started, and exits with 0 (held), 1 (broken) or 2 (could not run).
 */
export const runCase = async (caseUrl, play) => {
  const startedAtMs = Date.now();
  const lines = [];
  const cleanups = [];
  const record = (what, fields = {}) => {
    const at = ((Date.now() - startedAtMs) / 1_000).toFixed(3);
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    lines.push([`${at} s`, what, ...text].join('  '));
  };
  const children = new Set();

  const end = (exitCode) => {
    children.forEach((child) => {
      child.kill('SIGKILL');
    });
    cleanups.reverse().forEach((cleanup) => {
      cleanup();
    });
    writeFileSync(new URL('record.txt', caseUrl), `${lines.join('\n')}\n`);
    process.exit(exitCode);
  };
  ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => {
    process.on(signal, () => {
      record('interrupted', { signal });
      end(EXIT_NOT_RUN);
    });
  });
  setTimeout(() => {
    record('not run: it took too long');
    end(EXIT_NOT_RUN);
  }, RUN_LIMIT_MS);

  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  cleanups.push(() => {
    rmSync(folder, { recursive: true, force: true });
  });

  const startRouter = async (store, host = 'front-1') => {
    const settings = await makeSettings(store, host);
    const path = join(folder, `${host}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...words] = readCommand();
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PARSLEYHALL_CONFIG: path },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    children.add(child);
    child.stdout.on('data', (bytes) => {
      if (process.env.SHOW_LOG === '1') {
        process.stderr.write(bytes);
      }
    });
    const exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        children.delete(child);
        record('router ended', { host, code, signal });
        resolve();
      });
    });
    const deadlineMs = Date.now() + START_LIMIT_MS;
    while (!(await isReady(settings.readinessAddress))) {
      if (Date.now() > deadlineMs) {
        throw new Error(`the router ${host} did not become ready`);
      }
      await sleep(100);
    }
    record('router ready', { host });
    return {
      address: settings.callersAddress,
      exited,
      signal: (name) => {
        record('signal to the router', { host, signal: name });
        child.kill(name);
      },
    };
  };

  try {
    record('case', { trouble: hasTrouble });
    const store = await startStore();
    cleanups.push(store.close);
    const track = (standIn) => {
      cleanups.push(standIn.close);
      return standIn;
    };
    const findings = await play({ store, startRouter, track, record });
    findings.forEach((finding) => {
      record('BROKEN', { finding });
      process.stdout.write(`broken: ${finding}\n`);
    });
    record(findings.length === 0 ? 'the rule held' : 'the rule was broken');
    end(findings.length === 0 ? EXIT_HELD : EXIT_BROKEN);
  } catch (error) {
    record('not run', { error: String(error) });
    process.stderr.write(`${String(error)}\n`);
    end(EXIT_NOT_RUN);
  }
};

/** Writes a configuration with these routes, as the operator does; each has a service of its own name. */
export const writeConfiguration = (store, routes, version = 1) => {
  const services = [...new Set(routes.map(({ service }) => service))];
  const configuration = {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      targetLatencyMs: 800,
      priority: 0,
      allowAnonymous: false,
      maxAttempts: 2,
      ...route,
    })),
    services: services.map((name) => ({ name, healthPath: '/healthz', maxConnections: 100 })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'alpha', apiKeys: [KEY], ratePerS: 0, burst: 0 }],
  };
  store.append('keyed.op', 'config', JSON.stringify(configuration));
};
