import type { EntryDecisions, EntryEvent } from '@parsleyhall/entry';
import type { SideId } from '@parsleyhall/common';
import { CONFIGURATION_STREAM } from '@parsleyhall/configuration';
import type { SideDecisions, SideEvent } from '@parsleyhall/side';
import type { Schedule } from '../schedule/schedule.js';
import { applyFault } from './applyFault.js';
import { createCallersFake } from './createCallersFake.js';
import { createDelays } from './createDelays.js';
import { createEntryShell } from './createEntryShell.js';
import { createHostListFake } from './createHostListFake.js';
import { createLink } from './createLink.js';
import { createLogFake } from './createLogFake.js';
import { createOperatorFake } from './createOperatorFake.js';
import { createSideShell } from './createSideShell.js';
import { createSimulation } from './createSimulation.js';
import { createTargetFake } from './createTargetFake.js';
import { getEntryIds } from './getEntryIds.js';
import { getEndMs } from './getEndMs.js';
import { getSideIds } from './getSideIds.js';
import type { History } from './history.js';
import { isEngineSide } from './isEngineSide.js';
import type { Link } from './link.js';
import { newDocument } from './newDocument.js';
import type { ProcessShell } from './processShell.js';
import type { WorldControls } from './worldControls.js';
import { WORLD_SETTINGS } from './worldSettings.js';

type AnyProcess = ProcessShell<EntryEvent> | ProcessShell<SideEvent>;

const REPLACED_AFTER_STOP_MS = 150;
const TRIM_PERIOD_MS = 250;

/** Runs a schedule against the real reducers, with some of their decisions replaced, and tells what was seen. */
export const runWorld = (
  schedule: Schedule,
  decisions: {
    readonly entry?: Partial<EntryDecisions>;
    readonly side?: Partial<SideDecisions>;
  } = {},
): History => {
  const facts: History['facts'][number][] = [];
  const record = (fact: History['facts'][number]): void => {
    facts.push(fact);
  };
  const simulation = createSimulation();
  const getDelay = createDelays(schedule.delaySeed);
  const log = createLogFake(simulation, getDelay);
  const hostList = createHostListFake(simulation);
  const links = new Map<string, Link>();
  const stopping = new Set<string>();
  const entryIds = getEntryIds();
  const sideIds = getSideIds();
  const getLink = (entry: string, side: string): Link => {
    const link = links.get(`${entry} ${side}`);
    if (link === undefined) {
      throw new RangeError(`no link from ${entry} to ${side}`);
    }
    return link;
  };

  const endProcess = (process: AnyProcess, replacedAfterMs: number): void => {
    stopping.delete(process.name);
    process.kill();
    for (const [name, link] of links) {
      if (name.endsWith(` ${process.name}`)) {
        link.cut({ forMs: 0, isSilent: false });
      }
    }
    simulation.schedule(replacedAfterMs, process.start);
  };
  const stopped = (process: AnyProcess): void => {
    record({ type: 'processStopped', atMs: simulation.getNowMs(), process: process.name });
    endProcess(process, REPLACED_AFTER_STOP_MS);
  };
  const targets = sideIds.map((side, index) =>
    createTargetFake({
      simulation,
      kind: isEngineSide(index) ? 'engine' : 'service',
      side,
      record,
    }),
  );
  const entries: readonly ProcessShell<EntryEvent>[] = entryIds.map((entryId, index) => {
    const entry = createEntryShell({
      simulation,
      log,
      hostList,
      entryId,
      index,
      decisions: decisions.entry ?? {},
      getLink: (side) => getLink(entryId, side),
      record,
      onStopped: () => {
        stopped(entry);
      },
    });
    return entry;
  });
  const sides: readonly ProcessShell<SideEvent>[] = targets.map((target, index) => {
    const sideId = sideIds[index] ?? ('' as SideId);
    const side = createSideShell({
      simulation,
      log,
      hostList,
      target,
      sideId,
      index,
      decisions: decisions.side ?? {},
      getLink: (entry) => getLink(entry, sideId),
      record,
      onStopped: () => {
        stopped(side);
      },
    });
    return side;
  });
  entryIds.forEach((entryId, entryIndex) => {
    sideIds.forEach((sideId, sideIndex) => {
      const entry = entries[entryIndex];
      const side = sides[sideIndex];
      if (entry !== undefined && side !== undefined) {
        const link = createLink({ simulation, getDelay, entryId, sideId, entry, side });
        links.set(`${entryId} ${sideId}`, link);
      }
    });
  });
  const requestStop = <Event>(process: ProcessShell<Event>, deliver: () => void): void => {
    if (process.getLife() === undefined || stopping.has(process.name)) {
      return;
    }
    stopping.add(process.name);
    record({ type: 'stopRequested', atMs: simulation.getNowMs(), process: process.name });
    deliver();
  };
  const operators = ['operator-0', 'operator-1'].map((name) =>
    createOperatorFake({ simulation, log, name, record }),
  );
  const callers = createCallersFake({
    simulation,
    entries,
    isReady: (entry) => entry.getLife() !== undefined && !stopping.has(entry.name),
    record,
  });
  const controls: WorldControls = {
    simulation,
    log,
    hostList,
    entries,
    sides,
    targets,
    operators,
    callers,
    getLink: (entry, side) => getLink(entryIds[entry] ?? '', sideIds[side] ?? ''),
    killProcess: (process, replacedAfterMs) => {
      if (process.getLife() === undefined) {
        return;
      }
      record({ type: 'processKilled', atMs: simulation.getNowMs(), process: process.name });
      endProcess(process, replacedAfterMs);
    },
    pauseProcess: (process, { forMs, holdsEffects }) => {
      if (process.getLife() === undefined) {
        return;
      }
      const atMs = simulation.getNowMs();
      record({ type: 'processPaused', atMs, process: process.name, untilMs: atMs + forMs });
      process.pause(forMs, holdsEffects);
    },
    listHost: (index, isLeaving) => {
      const side = sideIds[index];
      if (side !== undefined) {
        record({ type: 'hostListed', atMs: simulation.getNowMs(), side, isLeaving });
        hostList.setLeaving(side, isLeaving);
      }
    },
    stopEntry: (index) => {
      const entry = entries[index];
      if (entry !== undefined) {
        requestStop(entry, () => {
          entry.getLife()?.deliver((clock) => ({ ...clock, type: 'stopRequested' }));
        });
      }
    },
    stopSide: (index) => {
      const side = sides[index];
      if (side !== undefined) {
        requestStop(side, () => {
          side.getLife()?.deliver(({ nowMs }) => ({ nowMs, type: 'stopRequested' }));
        });
      }
    },
  };

  const trim = (): void => {
    const beforeMs = simulation.getNowMs() - WORLD_SETTINGS.logRetentionMs;
    log.trim(CONFIGURATION_STREAM, beforeMs);
    for (let partition = 0; partition < WORLD_SETTINGS.keyPartitions; partition += 1) {
      log.trim(`keys-${partition}`, beforeMs);
    }
    simulation.schedule(TRIM_PERIOD_MS, trim);
  };
  trim();
  operators[0]?.change({ type: 'publish', document: newDocument() });
  for (const process of [...entries, ...sides]) {
    process.start();
  }
  for (const arrival of schedule.arrivals) {
    simulation.schedule(WORLD_SETTINGS.warmUpMs + arrival.atMs, () => {
      callers.send(arrival);
    });
  }
  for (const fault of schedule.faults) {
    simulation.schedule(WORLD_SETTINGS.warmUpMs + fault.atMs, () => {
      applyFault(controls, fault);
    });
  }
  const endMs = WORLD_SETTINGS.warmUpMs + getEndMs(schedule);
  simulation.runUntil(endMs);
  return {
    facts,
    configurationRecords: log.getHistory(CONFIGURATION_STREAM),
    endedAtMs: endMs,
  };
};
