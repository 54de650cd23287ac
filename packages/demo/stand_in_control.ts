import { request } from "undici";
import { z } from "zod";
import { STAND_IN_PREFIX } from "@oleanderdeck/testing";

/** Timeout of a request to a stand-in or a node, in milliseconds. */
const TIMEOUT_MS = 5000;

const stateSchema = z.object({
  service: z.string(),
  inFlight: z.number(),
  counts: z.object({
    started: z.number(),
    finished: z.number(),
    cancelled: z.number(),
    refusedFull: z.number(),
    refusedFence: z.number(),
    cutBodies: z.number(),
    corruptBodies: z.number(),
    failedCalls: z.number(),
  }),
  duplicatePosts: z.record(z.string(), z.number()),
});

/** State of a backend stand-in as returned by its control endpoint. */
export type StandInState = z.infer<typeof stateSchema>;

/** Reads the state of the backend stand-in at an address. */
export async function readStandIn(address: string): Promise<StandInState> {
  const answer = await request(`http://${address}${STAND_IN_PREFIX}state`, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  return stateSchema.parse(await answer.body.json());
}

/** Sets the factor that multiplies the service times of a backend stand-in. */
export async function setSlowFactor(
  address: string,
  factor: number,
): Promise<void> {
  const answer = await request(
    `http://${address}${STAND_IN_PREFIX}slow-factor`,
    {
      method: "PUT",
      body: String(factor),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    },
  );
  await answer.body.dump();
}

/** Returns whether the node at a call address is ready to receive calls. */
export async function isNodeReady(callAddress: string): Promise<boolean> {
  try {
    const answer = await request(
      `http://${callAddress}/oleanderdeck/v1/health`,
      { signal: AbortSignal.timeout(TIMEOUT_MS) },
    );
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
