import { once } from 'node:events';
import { connect } from 'node:net';

/** Sends text on a new connection and returns everything received until the connection is closed. */
export const exchangeRaw = async (address: string, text: string): Promise<string> => {
  const [host = '', port = ''] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.on('error', () => undefined);
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(chunks).toString('utf8');
};
