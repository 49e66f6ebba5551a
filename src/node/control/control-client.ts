import type {AccessState} from '../../common/access/access.js';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {AccessClient} from './access-client.js';
import type {AccessHost} from './access-client.js';
import {ClaimClient} from './claim-client.js';
import type {ControlLeaderClient} from './control-leader-client.js';

export type ControlClientOptions = {
	/** Runtime that hosts the access slice. */
	readonly host: AccessHost;
	/** State of the access slice, which the client only reads. */
	readonly state: AccessState;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly leaderClient: ControlLeaderClient;
};

/** Client of the control VMs for an entry process. `access` and `claims` are separate objects, since both have a method `settle`. */
export class ControlClient implements Disposable {
	readonly access: AccessClient;
	readonly claims: ClaimClient;

	constructor({host, state, network, clock, leaderClient}: ControlClientOptions) {
		this.access = new AccessClient({
			host, state, network, clock,
		});
		this.claims = new ClaimClient({leaderClient, clock});
	}

	dispose(): void {
		this.access.dispose();
	}
}
