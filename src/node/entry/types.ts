import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {VmIdentity} from '../../common/core/types.js';
import type {AccessService} from '../../common/services/access-service.js';
import type {ClaimService} from '../../common/services/claim-service.js';
import type {EntryPointService} from '../../common/services/entry-point-service.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {SchedulerClient} from '../../common/services/scheduler-client.js';

/** What the entry process needs from the rest of the system. */
export type EntryServices = {
	readonly access: AccessService;
	readonly claims: ClaimService;
	readonly scheduler: SchedulerClient;
	readonly entryPoints: EntryPointService;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
};

export type EntryOptions = {
	/** Where callers connect. */
	readonly host: string;
	/** 0 takes a free port. */
	readonly port: number;
	/** This run of the process; owns the requests it sends to engines. */
	readonly identity: VmIdentity;
	readonly zone: string;
	/** Seed of the random choices between upstreams. */
	readonly seed: number;
	readonly limits?: Partial<EntryLimits>;
};

/** Limits that do not depend on a service; durations in milliseconds. */
export type EntryLimits = {
	readonly headerBytes: number;
	readonly headersTimeoutMs: number;
	readonly bodyTimeoutMs: number;
	/** How long an idle connection of a caller stays open. */
	readonly keepAliveMs: number;
	readonly slowReaderMs: number;
	readonly maxConnections: number;
	/** Memory that request bodies may occupy together. */
	readonly bodyMemoryBytes: number;
	/** Time for the news of a drain to reach every process that answers entry-point questions. */
	readonly drainSpreadMs: number;
};

export const defaultEntryLimits: EntryLimits = {
	headerBytes: 16_384,
	headersTimeoutMs: 5000,
	bodyTimeoutMs: 10_000,
	keepAliveMs: 5000,
	slowReaderMs: 10_000,
	maxConnections: 10_000,
	bodyMemoryBytes: 67_108_864,
	drainSpreadMs: 2000,
};
