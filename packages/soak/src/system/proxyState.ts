/**
 * How the proxy in front of a target treats connections: forwards data at once, forwards it with a delay, holds all
 * data back, or resets the connections.
 */
export type ProxyState = 'open' | 'delayed' | 'silent' | 'reset';
