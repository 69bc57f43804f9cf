/* Generated from schemas/settings.json by `npm run generate`. Do not edit. */

export type Address = string;

/**
 * Settings of one daemon, read from a TOML file.
 */
export interface DaemonSettings {
  /**
   * Name of the deployment, the same for all its daemons.
   */
  cluster: string;
  /**
   * Data centre of this host.
   */
  dataCentre: string;
  /**
   * Name of this daemon; the mesh address when absent.
   */
  id?: string;
  /**
   * Lowest severity of events that are logged.
   */
  logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /**
   * Addresses that this daemon listens on, each an IP address and a port.
   */
  listen: {
    /**
     * For connections of other daemons.
     */
    mesh: string;
    /**
     * For callers, and for calls that other daemons send.
     */
    calls: string;
    /**
     * For operators, metrics, health checks and the upstream on this host.
     */
    admin: string;
  };
  /**
   * Addresses at which daemons of other data centres reach this daemon, where they differ from the listen addresses.
   */
  advertise?: {
    /**
     * For links from other data centres.
     */
    mesh?: string;
    /**
     * For calls from other data centres.
     */
    calls?: string;
  };
  /**
   * The platform's key-value service.
   */
  platform: {
    /**
     * Base URL of the key-value service.
     */
    url: string;
    /**
     * Longest wait for an answer, in milliseconds.
     */
    timeoutMs?: number;
    /**
     * Largest number of calls per second that this daemon makes.
     */
    callsPerSecond?: number;
  };
  /**
   * Membership and connections to other daemons.
   */
  mesh?: {
    /**
     * Mesh addresses of daemons in this data centre to which this daemon tries to connect at start.
     */
    contacts?: Address[];
    /**
     * Mesh addresses of daemons in other data centres, by data centre.
     */
    remoteContacts?: {
      [k: string]: Address[];
    };
    /**
     * Time between heartbeats to a peer, in milliseconds.
     */
    heartbeatMs?: number;
    /**
     * Time between digest exchanges, each with one random peer, in milliseconds.
     */
    digestMs?: number;
    /**
     * Number of peers to which this daemon keeps connections.
     */
    activeDegree?: number;
  };
  /**
   * Daemons that watch the platform for their data centre.
   */
  readers?: {
    /**
     * Number of readers for each data centre.
     */
    perDataCentre?: number;
    /**
     * Duration of a reader's lease, in milliseconds.
     */
    leaseMs?: number;
  };
  /**
   * Handling of calls.
   */
  calls?: {
    /**
     * Largest number of connections to the worker on this host.
     */
    connectionsPerWorker?: number;
    /**
     * Longest wait for the header of a caller's request, in milliseconds.
     */
    headerTimeoutMs?: number;
    /**
     * Longest time without progress in sending or receiving a body, in milliseconds.
     */
    idleTimeoutMs?: number;
    /**
     * Retry budget: retries allowed for each original call, as a ratio.
     */
    retryBudget?: number;
    /**
     * Longest wait for calls in flight at a graceful stop, in milliseconds.
     */
    drainMs?: number;
  };
  /**
   * The upstream that announces itself on this host.
   */
  workers?: {
    /**
     * Time after which an upstream that has not renewed its announcement counts as gone, in milliseconds.
     */
    leaseMs?: number;
  };
}

/** The schema, for validation at run time. */
export const settingsSchema = {
  "$id": "settings",
  "title": "DaemonSettings",
  "description": "Settings of one daemon, read from a TOML file.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "cluster",
    "dataCentre",
    "listen",
    "platform"
  ],
  "properties": {
    "cluster": {
      "description": "Name of the deployment, the same for all its daemons.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "dataCentre": {
      "description": "Data centre of this host.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "id": {
      "description": "Name of this daemon; the mesh address when absent.",
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9.:-]{0,62}$"
    },
    "logLevel": {
      "description": "Lowest severity of events that are logged.",
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info"
    },
    "listen": {
      "description": "Addresses that this daemon listens on, each an IP address and a port.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "mesh",
        "calls",
        "admin"
      ],
      "properties": {
        "mesh": {
          "description": "For connections of other daemons.",
          "$ref": "#/definitions/Address"
        },
        "calls": {
          "description": "For callers, and for calls that other daemons send.",
          "$ref": "#/definitions/Address"
        },
        "admin": {
          "description": "For operators, metrics, health checks and the upstream on this host.",
          "$ref": "#/definitions/Address"
        }
      }
    },
    "advertise": {
      "description": "Addresses at which daemons of other data centres reach this daemon, where they differ from the listen addresses.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "mesh": {
          "description": "For links from other data centres.",
          "$ref": "#/definitions/Address"
        },
        "calls": {
          "description": "For calls from other data centres.",
          "$ref": "#/definitions/Address"
        }
      }
    },
    "platform": {
      "description": "The platform's key-value service.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "url"
      ],
      "properties": {
        "url": {
          "description": "Base URL of the key-value service.",
          "type": "string",
          "pattern": "^http://[^\\s]+$"
        },
        "timeoutMs": {
          "description": "Longest wait for an answer, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 60000,
          "default": 2000
        },
        "callsPerSecond": {
          "description": "Largest number of calls per second that this daemon makes.",
          "type": "number",
          "minimum": 1,
          "maximum": 1000,
          "default": 50
        }
      }
    },
    "mesh": {
      "description": "Membership and connections to other daemons.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "contacts": {
          "description": "Mesh addresses of daemons in this data centre to which this daemon tries to connect at start.",
          "type": "array",
          "items": {
            "$ref": "#/definitions/Address"
          },
          "default": []
        },
        "remoteContacts": {
          "description": "Mesh addresses of daemons in other data centres, by data centre.",
          "type": "object",
          "additionalProperties": {
            "type": "array",
            "items": {
              "$ref": "#/definitions/Address"
            }
          },
          "default": {}
        },
        "heartbeatMs": {
          "description": "Time between heartbeats to a peer, in milliseconds.",
          "type": "integer",
          "minimum": 20,
          "maximum": 60000,
          "default": 1000
        },
        "digestMs": {
          "description": "Time between digest exchanges, each with one random peer, in milliseconds.",
          "type": "integer",
          "minimum": 20,
          "maximum": 600000,
          "default": 2000
        },
        "activeDegree": {
          "description": "Number of peers to which this daemon keeps connections.",
          "type": "integer",
          "minimum": 2,
          "maximum": 16,
          "default": 4
        }
      }
    },
    "readers": {
      "description": "Daemons that watch the platform for their data centre.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "perDataCentre": {
          "description": "Number of readers for each data centre.",
          "type": "integer",
          "minimum": 1,
          "maximum": 4,
          "default": 2
        },
        "leaseMs": {
          "description": "Duration of a reader's lease, in milliseconds.",
          "type": "integer",
          "minimum": 200,
          "maximum": 600000,
          "default": 3000
        }
      }
    },
    "calls": {
      "description": "Handling of calls.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "connectionsPerWorker": {
          "description": "Largest number of connections to the worker on this host.",
          "type": "integer",
          "minimum": 1,
          "maximum": 1000,
          "default": 110
        },
        "headerTimeoutMs": {
          "description": "Longest wait for the header of a caller's request, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 600000,
          "default": 10000
        },
        "idleTimeoutMs": {
          "description": "Longest time without progress in sending or receiving a body, in milliseconds.",
          "type": "integer",
          "minimum": 10,
          "maximum": 600000,
          "default": 15000
        },
        "retryBudget": {
          "description": "Retry budget: retries allowed for each original call, as a ratio.",
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.1
        },
        "drainMs": {
          "description": "Longest wait for calls in flight at a graceful stop, in milliseconds.",
          "type": "integer",
          "minimum": 0,
          "maximum": 3600000,
          "default": 600000
        }
      }
    },
    "workers": {
      "description": "The upstream that announces itself on this host.",
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "properties": {
        "leaseMs": {
          "description": "Time after which an upstream that has not renewed its announcement counts as gone, in milliseconds.",
          "type": "integer",
          "minimum": 100,
          "maximum": 600000,
          "default": 6000
        }
      }
    }
  },
  "definitions": {
    "Address": {
      "type": "string",
      "pattern": "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$"
    }
  }
} as const;
