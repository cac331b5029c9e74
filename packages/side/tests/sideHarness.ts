import type {
  GrantId,
  HostName,
  Incarnation,
  PoolName,
  RequestId,
  SideId,
  TeamName,
} from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntryToSideMessage, Reservation, SideToEntryMessage } from '@parsleyhall/protocol';
import { createSideReducer } from '../src/index.js';
import type {
  SideDecisions,
  SideEffect,
  SideEvent,
  SideSettings,
  SideState,
} from '../src/index.js';

const settings: SideSettings = {
  side: 'side-1' as SideId,
  incarnation: 'life-1' as Incarnation,
  host: 'host-1' as HostName,
  dataCentre: 'maadi',
  pool: 'language' as PoolName,
  models: ['draft'],
  kind: 'engine',
  initialWindowRequests: 2,
  maximumWindowRequests: 64,
  grantLeaseMs: 200,
  heartbeatMs: 500,
  peerTimeoutMs: 3_000,
  answerRetentionMs: 10_000,
  maximumWaiting: 1_000,
  longPrefillTokens: 4_000,
};

const configuration: ConfigurationState = {
  version: 1,
  document: {
    teams: [],
    pools: [],
    presets: [
      {
        name: 'ordinary',
        tiers: [],
        defaultTier: 3,
        lowestTierAdmitted: 4,
        tierOneReservedShare: 0,
        teamLimits: [],
        pricePerMillionPrefillTokens: 0,
      },
    ],
    initialPreset: 'ordinary',
  },
  presetInForce: 'ordinary',
  drainedHosts: [],
  recentPublications: [],
};

/** Drives a side reducer by hand and collects what it does; times are in milliseconds. */
class SideHarness {
  readonly effects: SideEffect[] = [];
  readonly settings: SideSettings;
  nowMs = 1_000;
  state: SideState;
  private readonly reduce: ReturnType<typeof createSideReducer>['reduce'];

  constructor(change: Partial<SideSettings> = {}, decisions: Partial<SideDecisions> = {}) {
    this.settings = { ...settings, ...change };
    const { initialState, reduce } = createSideReducer(this.settings, decisions);
    this.state = initialState;
    this.reduce = reduce;
  }

  /** Applies an event now and answers its effects. */
  apply(
    event: { readonly type: SideEvent['type'] } & Record<string, unknown>,
  ): readonly SideEffect[] {
    const { state, effects } = this.reduce(this.state, {
      nowMs: this.nowMs,
      ...event,
    } as SideEvent);
    this.state = state;
    this.effects.push(...effects);
    return effects;
  }

  /** Puts a configuration in force and connects entries. */
  start(...entries: readonly string[]): this {
    this.apply({ type: 'configurationFolded', configuration });
    for (const entry of entries) {
      this.apply({ type: 'entryConnected', entry });
    }
    return this;
  }

  /** Lets time pass and ticks. */
  pass(ms: number): readonly SideEffect[] {
    this.nowMs += ms;
    return this.apply({ type: 'tick' });
  }

  /** Delivers a message of an entry and answers the messages sent because of it. */
  say(entry: string, message: EntryToSideMessage): readonly SideToEntryMessage[] {
    return this.apply({ type: 'entryMessage', entry: entry, message }).flatMap((effect) =>
      effect.type === 'sendToEntry' ? [effect.message] : [],
    );
  }

  reserve(
    entry: string,
    id: string,
    change: Partial<Reservation> = {},
  ): readonly SideToEntryMessage[] {
    return this.say(entry, { type: 'reserve', reservation: this.newReservation(id, change) });
  }

  give(entry: string, id: string, grantId: GrantId): readonly SideToEntryMessage[] {
    return this.say(entry, this.newGive(id, grantId));
  }

  newGive(id: string, grantId: GrantId): EntryToSideMessage {
    return {
      type: 'give',
      grantId,
      requestId: id as RequestId,
      call: { method: 'POST', path: '/', headers: {}, body: new Uint8Array(), isStreaming: true },
      deadlineLeftMs: 60_000,
    };
  }

  /** Grants sent so far for a request, oldest first. */
  grantsOf(id: string): readonly GrantId[] {
    return this.messages().flatMap((message) =>
      message.type === 'grant' && message.requestId === id ? [message.grantId] : [],
    );
  }

  messages(): readonly SideToEntryMessage[] {
    return this.effects.flatMap((effect) =>
      effect.type === 'sendToEntry' ? [effect.message] : [],
    );
  }

  calls(): readonly RequestId[] {
    return this.effects.flatMap((effect) =>
      effect.type === 'callTarget' ? [effect.requestId] : [],
    );
  }

  newReservation(id: string, change: Partial<Reservation>): Reservation {
    return {
      requestId: id as RequestId,
      pool: this.settings.pool,
      model: 'draft',
      tier: 3,
      team: 'team-a' as TeamName,
      kind: 'draft',
      deadlineLeftMs: 60_000,
      prefillTokens: 100,
      decodeTokens: 50,
      prefixFingerprints: [],
      isNonIdempotent: false,
      ...change,
    };
  }
}

export { SideHarness, configuration };
