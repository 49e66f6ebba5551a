import type {AccessState} from '../../common/access/access.js';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {AccessClient} from './access-client.js';
import type {AccessHost} from './access-client.js';
import {ClaimClient} from './claim-client.js';
import type {ControlLink} from './control-link.js';

export type ControlClientOptions = {
	/** Hosts the access slice. */
	readonly host: AccessHost;
	/** The slice's state, which the client only reads. */
	readonly state: AccessState;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly link: ControlLink;
};

/** An entry process's side of the control VMs. The two services have methods of the same name, so each is an object. */
export class ControlClient implements Disposable {
	readonly access: AccessClient;
	readonly claims: ClaimClient;

	constructor({host, state, network, clock, link}: ControlClientOptions) {
		this.access = new AccessClient({
			host, state, network, clock,
		});
		this.claims = new ClaimClient({link, clock});
	}

	dispose(): void {
		this.access.dispose();
	}
}
