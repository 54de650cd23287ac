import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { formatIssue, readJsonc } from "@oleanderdeck/settings";
import {
  backendBehaviourSchema,
  type BackendDescription,
} from "@oleanderdeck/testing";

/** Ports that are the same on every host of a demonstration. */
export const PORTS = { call: 7100, control: 7101, peer: 7102, backend: 8080 };

/** Number of hosts that are seeds of the fleet. */
const SEED_COUNT = 3;

const hostSchema = z.strictObject({
  dataCentre: z.string(),
  ip: z.ipv4().refine(
    (ip) => ip.startsWith("127."),
    "A loopback address is expected",
  ),
});

const serviceSchema = z.strictObject({
  service: z.string(),
  slots: z.int().min(1),
  connectionLimit: z.int().min(1),
  hosts: z.array(hostSchema).min(1),
  requests: backendBehaviourSchema.shape.requests,
});

/** Schema of the description of a deployment. */
export const deploymentSchema = z.strictObject({
  name: z.string(),
  region: z.string(),
  platformAddress: z.string(),
  demo: z.strictObject({
    slowService: z.string(),
    killedHost: z.string(),
    stoppedHost: z.string(),
  }),
  services: z.array(serviceSchema).min(1),
});

/** Hosts and services of a deployment. */
export type Deployment = Readonly<z.output<typeof deploymentSchema>>;

/** One host with the files that its processes are started with. */
export interface DeployedHost {
  readonly service: string;
  readonly dataCentre: string;
  readonly ip: string;
  readonly callAddress: string;
  readonly controlAddress: string;
  readonly backendAddress: string;
  readonly settingsFile: string;
  readonly behaviourFile: string;
}

/** Secrets of a demonstration. */
export interface DeploymentSecrets {
  readonly peerKey: string;
  /** SHA-256 of the operator token in hexadecimal digits. */
  readonly operatorTokenHash: string;
}

/** Options of {@linkcode writeHosts}. */
export interface WriteHostsOptions extends DeploymentSecrets {
  /** Directory for the files. */
  readonly directory: string;
}

/**
 * Reads the description of a deployment.
 *
 * @param path File in JSON with comments.
 * @throws {Error} If the file has faults; the message lists all of them.
 */
export function readDeployment(path: string): Deployment {
  return readJsonc(readFileSync(path, "utf8"), deploymentSchema).caseOf({
    Left: (faults) => {
      throw new Error(
        faults.map((fault) => formatIssue(path, fault)).join("\n"),
      );
    },
    Right: (deployment) => deployment,
  });
}

/**
 * Writes the settings of each node and the behaviour of each backend server.
 *
 * @param deployment Description.
 * @param options Directory and secrets.
 */
export function writeHosts(
  deployment: Deployment,
  options: WriteHostsOptions,
): readonly DeployedHost[] {
  const { directory, operatorTokenHash, peerKey } = options;
  mkdirSync(directory, { recursive: true });
  const entries = deployment.services.flatMap((service) =>
    service.hosts.map((host) => ({ service, host }))
  );
  const seeds = entries.slice(0, SEED_COUNT)
    .map(({ host }) => `${host.ip}:${PORTS.peer}`);
  return entries.map(({ host: { dataCentre, ip }, service }, index) => {
    const deployed: DeployedHost = {
      service: service.service,
      dataCentre,
      ip,
      callAddress: `${ip}:${PORTS.call}`,
      controlAddress: `${ip}:${PORTS.control}`,
      backendAddress: `${ip}:${PORTS.backend}`,
      settingsFile: join(directory, `${ip}.settings.json`),
      behaviourFile: join(directory, `${ip}.behaviour.json`),
    };
    writeJson(deployed.settingsFile, {
      callAddress: deployed.callAddress,
      controlAddress: deployed.controlAddress,
      peerAddress: `${ip}:${PORTS.peer}`,
      dataCentre,
      region: deployment.region,
      peerKeys: [peerKey],
      seeds,
      storeUrl: `http://${deployment.platformAddress}`,
      operatorTokens: [
        { name: "demo", role: "operator", sha256: operatorTokenHash },
      ],
      logLevel: "warn",
    });
    const behaviour: BackendDescription = {
      service: service.service,
      listen: deployed.backendAddress,
      node: deployed.callAddress,
      dataCentre,
      slots: service.slots,
      connectionLimit: service.connectionLimit,
      seed: index + 1,
      requests: [...service.requests],
    };
    writeJson(deployed.behaviourFile, behaviour);
    return deployed;
  });
}

function writeJson(path: string, value: unknown): void {
  writeFileSync(path, JSON.stringify(value, undefined, 2) + "\n");
}
