import type { PlacementLoad, PlacementReplay } from "./_placement_replay.ts";

/** Time of the event, after the start of the load, in milliseconds. */
const EVENT_AT_MS = 3_000;

/** Worker that an event of a single one concerns; its speed is 1. */
const WORKER = 1;

/** Makes the load of an event for a number of workers. */
type MakeLoad = (workers: number, load: number) => PlacementLoad;

function baseLoad(workers: number, load: number, seconds = 12): PlacementLoad {
  return {
    workers,
    callers: workers,
    load,
    seconds: workers > 100 ? Math.min(seconds, 9) : seconds,
    countedFromMs: EVENT_AT_MS,
    seed: 1,
  };
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

// Workers that are there from the event on only.
function lateStart(
  workers: number,
  load: number,
  indices: readonly number[],
): PlacementLoad {
  return {
    ...baseLoad(workers, load),
    affected: indices,
    affectedFromMs: EVENT_AT_MS,
    event: (replay) => {
      const { queue } = replay;
      queue.after(0, () => indices.forEach((index) => replay.crash(index)));
      queue.after(
        EVENT_AT_MS,
        () => indices.forEach((index) => replay.start(index)),
      );
    },
  };
}

// Each worker stops to accept calls, ends, and returns with a cold start.
function release(replay: PlacementReplay): void {
  const released = range(Math.floor(replay.workers.length * 0.45));
  released.forEach((index) => {
    const at = EVENT_AT_MS + index * 8_000 / released.length;
    const worker = replay.workers[index]!;
    replay.queue.after(at, () => worker.isAccepting = false);
    replay.queue.after(at + 700, () => replay.crash(index));
    replay.queue.after(at + 1_500, () => replay.start(index));
  });
}

function slow(
  workers: number,
  load: number,
  durationMs: number,
): PlacementLoad {
  return {
    ...baseLoad(workers, load, 14),
    affected: [WORKER],
    affectedFromMs: EVENT_AT_MS + durationMs,
    event: ({ queue, workers }) => {
      const worker = workers[WORKER]!;
      queue.after(EVENT_AT_MS, () => worker.slowdown = 5);
      queue.after(EVENT_AT_MS + durationMs, () => worker.slowdown = 1);
    },
  };
}

/** Loads of the replays by the name of their event. */
export const PLACEMENT_EVENTS: Readonly<Record<string, MakeLoad>> = {
  "steady": (workers, load) => baseLoad(workers, load),
  "swing": (workers, load) => ({
    ...baseLoad(workers, load, 16),
    swings: true,
  }),
  "one starts": (workers, load) => lateStart(workers, load, [WORKER]),
  "quarter starts": (workers, load) =>
    lateStart(workers, load, range(workers).filter((index) => index % 4 === 1)),
  "rolling release": (workers, load) => ({
    ...baseLoad(workers, load, 16),
    event: release,
  }),
  "crash, return": (workers, load) => ({
    ...baseLoad(workers, load),
    affected: [WORKER],
    affectedFromMs: EVENT_AT_MS + 1_500,
    event: (replay) => {
      const { queue } = replay;
      queue.after(EVENT_AT_MS, () => replay.crash(WORKER));
      queue.after(
        EVENT_AT_MS + 1_500,
        () => replay.start(WORKER, { isNewChannel: false }),
      );
    },
  }),
  "flapping": (workers, load) => ({
    ...baseLoad(workers, load),
    event: ({ queue, workers }) => {
      const worker = workers[WORKER]!;
      const turn = () => {
        worker.isFailing = !worker.isFailing;
        queue.after(700, turn);
      };
      queue.after(EVENT_AT_MS, turn);
    },
  }),
  "fails all": (workers, load) => ({
    ...baseLoad(workers, load),
    event: ({ queue, workers }) =>
      queue.after(EVENT_AT_MS, () => workers[WORKER]!.isFailing = true),
  }),
  "slow for good": (workers, load) => slow(workers, load, Infinity),
  "slow, recovers": (workers, load) => slow(workers, load, 4_000),
  "all start": (workers, load) => ({
    ...baseLoad(workers, load, 8),
    countedFromMs: 0,
    event: (replay) => range(workers).forEach((index) => replay.start(index)),
  }),
};
