/* Generated from schemas/messages.json by `npm run generate`; not edited by hand. */

export type WorkerState = 'starting' | 'ready' | 'draining' | 'gone';

/**
 * Messages between daemons, and records that they carry.
 */
export interface MessagesSchema {
  member?: MemberRecord;
  summary?: ServiceSummary;
  announcement?: WorkerAnnouncement;
}
/**
 * What a data centre knows of one daemon.
 */
export interface MemberRecord {
  id: string;
  dataCentre: string;
  /**
   * Raised by the member itself with each change of its record.
   */
  incarnation: number;
  meshAddress: string;
  callsAddress: string;
  adminAddress: string;
  /**
   * Mesh address for other data centres; the mesh address when absent.
   */
  remoteMeshAddress?: string;
  /**
   * Calls address for other data centres; the calls address when absent.
   */
  remoteCallsAddress?: string;
  /**
   * State of the daemon itself.
   */
  state: 'alive' | 'suspect' | 'left' | 'dead';
  worker?: Worker;
}
/**
 * The upstream on a daemon's host, as it announced itself.
 */
export interface Worker {
  name: string;
  /**
   * @minItems 1
   * @maxItems 16
   */
  services: string[];
  slots: number;
  state: WorkerState;
  /**
   * When it became ready, by its daemon's clock.
   */
  readyAtMs: number;
}
/**
 * What another data centre needs to know of a service in order to overflow to it.
 */
export interface ServiceSummary {
  dataCentre: string;
  service: string;
  readySlots: number;
  /**
   * A few addresses for calls, not every worker.
   *
   * @maxItems 8
   */
  gates: SummaryGate[];
}
export interface SummaryGate {
  memberId: string;
  callsAddress: string;
  worker: string;
  slots: number;
}
/**
 * Body of an upstream's announcement at the daemon on its host.
 */
export interface WorkerAnnouncement {
  /**
   * IP number and port of the upstream.
   */
  address: string;
  /**
   * @minItems 1
   * @maxItems 16
   */
  services: string[];
  slots: number;
  state: 'starting' | 'ready' | 'draining';
}

/** The schema itself, for validation at run time. */
export const messagesSchema = {
  "$id": "messages",
  "title": "MessagesSchema",
  "description": "Messages between daemons, and records that they carry.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "member": {
      "$ref": "#/definitions/MemberRecord"
    },
    "summary": {
      "$ref": "#/definitions/ServiceSummary"
    },
    "announcement": {
      "$ref": "#/definitions/WorkerAnnouncement"
    }
  },
  "definitions": {
    "WorkerState": {
      "enum": [
        "starting",
        "ready",
        "draining",
        "gone"
      ]
    },
    "Worker": {
      "description": "The upstream on a daemon's host, as it announced itself.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "services",
        "slots",
        "state",
        "readyAtMs"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
        },
        "services": {
          "type": "array",
          "items": {
            "type": "string"
          },
          "minItems": 1,
          "maxItems": 16
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000
        },
        "state": {
          "$ref": "#/definitions/WorkerState"
        },
        "readyAtMs": {
          "description": "When it became ready, by its daemon's clock.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "WorkerAnnouncement": {
      "description": "Body of an upstream's announcement at the daemon on its host.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "address",
        "services",
        "slots",
        "state"
      ],
      "properties": {
        "address": {
          "description": "IP number and port of the upstream.",
          "type": "string",
          "pattern": "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$"
        },
        "services": {
          "type": "array",
          "items": {
            "type": "string",
            "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
          },
          "minItems": 1,
          "maxItems": 16
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000
        },
        "state": {
          "enum": [
            "starting",
            "ready",
            "draining"
          ]
        }
      }
    },
    "MemberRecord": {
      "description": "What a data centre knows of one daemon.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "id",
        "dataCentre",
        "incarnation",
        "meshAddress",
        "callsAddress",
        "adminAddress",
        "state"
      ],
      "properties": {
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "dataCentre": {
          "type": "string"
        },
        "incarnation": {
          "description": "Raised by the member itself with each change of its record.",
          "type": "integer",
          "minimum": 0
        },
        "meshAddress": {
          "type": "string"
        },
        "callsAddress": {
          "type": "string"
        },
        "adminAddress": {
          "type": "string"
        },
        "remoteMeshAddress": {
          "description": "Mesh address for other data centres; the mesh address when absent.",
          "type": "string"
        },
        "remoteCallsAddress": {
          "description": "Calls address for other data centres; the calls address when absent.",
          "type": "string"
        },
        "state": {
          "description": "State of the daemon itself.",
          "enum": [
            "alive",
            "suspect",
            "left",
            "dead"
          ]
        },
        "worker": {
          "$ref": "#/definitions/Worker"
        }
      }
    },
    "ServiceSummary": {
      "description": "What another data centre needs to know of a service in order to overflow to it.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "dataCentre",
        "service",
        "readySlots",
        "gates"
      ],
      "properties": {
        "dataCentre": {
          "type": "string"
        },
        "service": {
          "type": "string"
        },
        "readySlots": {
          "type": "integer",
          "minimum": 0
        },
        "gates": {
          "description": "A few addresses for calls, not every worker.",
          "type": "array",
          "maxItems": 8,
          "items": {
            "title": "SummaryGate",
            "type": "object",
            "additionalProperties": false,
            "required": [
              "memberId",
              "callsAddress",
              "worker",
              "slots"
            ],
            "properties": {
              "memberId": {
                "type": "string"
              },
              "callsAddress": {
                "type": "string"
              },
              "worker": {
                "type": "string"
              },
              "slots": {
                "type": "integer",
                "minimum": 1
              }
            }
          }
        }
      }
    }
  }
} as const;
