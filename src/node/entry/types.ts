import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {VmIdentity} from '../../common/core/types.js';
import type {AccessService} from '../../common/services/access-service.js';
import type {ClaimService} from '../../common/services/claim-service.js';
import type {EntryPointService} from '../../common/services/entry-point-service.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {SchedulerClient} from '../../common/services/scheduler-client.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';

/** Services that the entry process depends on. */
export type EntryServices = {
	readonly access: AccessService;
	readonly claims: ClaimService;
	readonly scheduler: SchedulerClient;
	readonly entryPoints: EntryPointService;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly quarantine: RequestQuarantine;
};

export type EntryOptions = {
	/** Host name or IP address of the listener for callers. */
	readonly host: string;
	/** Port of the listener for callers; 0 picks a free one. */
	readonly port: number;
	/** VM and incarnation of this process, which engines record as the owner of its requests. */
	readonly identity: VmIdentity;
	/** Availability zone of this process. */
	readonly zone: string;
	/** Seed of the random choice among upstreams. */
	readonly seed: number;
	readonly limits?: Partial<EntryLimits>;
};

/** Limits of the entry process that are the same for every service. */
export type EntryLimits = {
	/** Largest total size of the headers of a request, in bytes. */
	readonly headerBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time in which the body of a request must arrive, in milliseconds. */
	readonly bodyTimeoutMs: number;
	/** Time after which an idle connection of a caller is closed, in milliseconds. */
	readonly keepAliveTimeoutMs: number;
	/** Time after which a caller that reads nothing of its response is disconnected, in milliseconds. */
	readonly slowReaderTimeoutMs: number;
	/** Largest number of open connections of callers. */
	readonly maxConnections: number;
	/** Memory that all buffered request bodies together may occupy, in bytes. */
	readonly bodyMemoryBytes: number;
	/** Time allowed for a drain to become known to every process that lists entry points, in milliseconds. */
	readonly drainPropagationMs: number;
};

export const defaultEntryLimits: EntryLimits = {
	headerBytes: 16_384,
	headersTimeoutMs: 5000,
	bodyTimeoutMs: 10_000,
	keepAliveTimeoutMs: 5000,
	slowReaderTimeoutMs: 10_000,
	maxConnections: 10_000,
	bodyMemoryBytes: 67_108_864,
	drainPropagationMs: 2000,
};
