export type { ArrivedRequest } from './arrivedRequest.js';
export type { EntryEffect } from './entryEffect.js';
export type { EntryEvent } from './entryEvent.js';
export type { EntrySettings } from './entrySettings.js';
export type { KeyRecord } from './keys/keyRecord.js';
export type { FinalFailure } from './finalFailure.js';
export type { ListedHost } from './listedHost.js';
